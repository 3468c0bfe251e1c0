package org.radishspur.decision.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.radishspur.decision.dispatch.UpstreamLoad.Timeliness;

/**
 * Estimates how long the upstreams of one pool need for a request, from the lengths of earlier answers, the times to first
 * byte and the pauses inside streams.
 */
final class AnswerTimes {
    /**
     * Ratio of the assumed to the expected length of an answer while its request takes only upstreams that are likely to be
     * on time; one answer in ten is longer than that.
     */
    private static final double EARLY_LENGTH_FACTOR = 2.0;

    /**
     * Ratio of the assumed to the expected length of an answer after that; an upstream that is probably on time is then
     * better than none.
     */
    private static final double LATER_LENGTH_FACTOR = 1.15;

    /** Times that differ by less than this factor count as equal; load alone makes such a difference. */
    private static final double SIMILAR_SPEED_FACTOR = 1.3;

    private final OutputLengthEstimate outputLengths = new OutputLengthEstimate();
    private final FirstByteModel firstByte = new FirstByteModel();
    private final StreamPauses pauses = new StreamPauses();

    OutputLengthEstimate outputLengths() {
        return outputLengths;
    }

    FirstByteModel firstByte() {
        return firstByte;
    }

    StreamPauses pauses() {
        return pauses;
    }

    /** Returns how many events the answer to a request is assumed to have. */
    double assumedEvents(QueuedRequest queued, boolean early) {
        return outputLengths.events(
                queued.requirements().outputTokens(),
                early ? EARLY_LENGTH_FACTOR : LATER_LENGTH_FACTOR,
                queued.requirements().outputLimit());
    }

    /** Rates how timely the answer of each upstream is likely to be. */
    Map<UpstreamLoad, Timeliness> rate(
            List<UpstreamLoad> usable,
            QueuedRequest queued,
            Set<UpstreamLoad> affinityTargets,
            double events,
            long now) {
        Map<UpstreamLoad, Timeliness> ratings = new HashMap<>();
        usable.forEach(load -> ratings.put(load, timeliness(load, queued, affinityTargets, events, now)));
        return ratings;
    }

    private Timeliness timeliness(
            UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets, double events, long now) {
        long uncachedTokens = queued.requirements().promptTokens() - cachedTokens(load, queued, affinityTargets);
        Timeliness alone = load.timeliness(queued, uncachedTokens, events, now);
        return pauses.rate(alone, load, queued, uncachedTokens);
    }

    /**
     * Removes all but the fastest upstreams, for an answer that none is expected to complete in time. On a slow engine
     * it would hold a slot until its deadline and fail; on a fast one it is likely to complete, because estimates are
     * often too long.
     */
    static void removeSlower(
            List<UpstreamLoad> usable, QueuedRequest queued, Set<UpstreamLoad> affinityTargets, double events) {
        double shortest = usable.stream()
                .mapToDouble(load -> totalMillis(load, queued, affinityTargets, events))
                .min()
                .orElse(0);
        usable.removeIf(load -> totalMillis(load, queued, affinityTargets, events) > shortest * SIMILAR_SPEED_FACTOR);
    }

    private static double totalMillis(
            UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets, double events) {
        return load.totalMillis(
                queued.requirements().promptTokens() - cachedTokens(load, queued, affinityTargets), events);
    }

    /** Returns how many tokens of the prompt an upstream has cached, where it is one that should cache the prefix. */
    static long cachedTokens(UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets) {
        return affinityTargets.contains(load) ? queued.requirements().prefix().tokens() : 0;
    }

    /** Returns how long the pool with these upstreams is expected to need for a request, once a slot is granted. */
    RequestTimes expected(Collection<UpstreamLoad> upstreams, QueuedRequest queued) {
        double[] eventTimes = upstreams.stream()
                .filter(load -> load.isEventTimeKnown() && queued.allows(load.upstream()))
                .mapToDouble(UpstreamLoad::eventMillis)
                .sorted()
                .toArray();
        if (eventTimes.length == 0 || !firstByte.isKnownForPool()) {
            return RequestTimes.UNKNOWN;
        }
        QueuedRequest.Requirements requirements = queued.requirements();
        double eventMillis = eventTimes[eventTimes.length / 2];
        long cachedTokens =
                requirements.prefix().isWorthCaching() ? requirements.prefix().tokens() : 0;
        double firstByteMillis = firstByte.millis(requirements.promptTokens() - cachedTokens) * eventMillis;
        double events = outputLengths.events(requirements.outputTokens());
        return new RequestTimes(
                firstByteMillis,
                firstByteMillis * eventTimes[0] / eventMillis,
                requirements.outputTokens() > 0 ? firstByteMillis + events * eventMillis : 0);
    }
}
