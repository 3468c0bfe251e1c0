package org.radishspur.node.entry;

import java.util.concurrent.TimeUnit;

import org.radishspur.decision.rollout.UpstreamTimes;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.entry.VersionCounters.Outcome;
import org.radishspur.node.upstream.UpstreamProbe;

/**
 * Records what one attempt shows about the version of its upstream, for a rollout that may be in progress.
 */
final class VersionEvidence {
    /** The time in which other ends of upstreams may show that a request is their cause, in milliseconds. */
    private static final long EXPLANATION_MILLIS = 1_500;

    /** The number of events of a stream from which the time between them is compared with that of other versions. */
    private static final long MIN_TIMED_EVENTS = 3;

    private final EntryServices services;
    private final Upstream upstream;
    private final String route;

    VersionEvidence(EntryServices services, Upstream upstream, String route) {
        this.services = services;
        this.upstream = upstream;
        this.route = route;
    }

    /** Records a response, or a failure of the upstream. */
    void recordResponse(boolean succeeded) {
        record(succeeded ? Outcome.SUCCESS : Outcome.FAILURE);
    }

    /** Records that the request was given up after the upstream had sent nothing for a while. */
    void recordUnanswered() {
        record(Outcome.NONE);
    }

    private void record(Outcome outcome) {
        services.versionCounters().add(upstream.pool(), upstream.version(), route, outcome);
    }

    /**
     * Records a lost connection as a failure. If the upstream has ended, that is decided some time later, when it may be
     * known that a request is what ended it.
     */
    void recordBreak(UpstreamProbe.Result result) {
        if (result != UpstreamProbe.Result.REFUSED) {
            recordResponse(false);
            return;
        }
        Runnable recordUnexplained = () -> {
            if (!services.crashes().isExplained(upstream)) {
                recordResponse(false);
            }
        };
        services.loop().schedule(recordUnexplained, EXPLANATION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Records the time to the first byte of a stream, or to the end of a plain response, in milliseconds. */
    void recordFirstByteTime(long millis) {
        recordTime(UpstreamTimes.Measure.FIRST_BYTE, millis);
    }

    /** Records the time from the first event of a stream to the latest one, in milliseconds. */
    void recordEventTimes(long millis, long events) {
        if (events >= MIN_TIMED_EVENTS) {
            recordTime(UpstreamTimes.Measure.EVENT, (double) millis / (events - 1));
        }
    }

    private void recordTime(UpstreamTimes.Measure measure, double millis) {
        if (!upstream.cold()) {
            services.versionCounters().addTime(upstream, measure, millis);
        }
    }
}
