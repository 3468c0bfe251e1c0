package org.radishspur.decision.permit;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.decision.move.SplitCounter;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.decision.move.VersionWatch;
import org.radishspur.decision.upstream.SpeedEstimate;
import org.radishspur.decision.upstream.UpstreamState;

/**
 * Keeps the routes of one pool to the versions that they may use, and watches the new ones.
 */
final class VersionRouting {
    private static final double MAX_LOG_SLOWNESS = 12;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Map<String, SplitCounter> counters = new HashMap<>();
    private final Map<String, VersionWatch> watches = new HashMap<>();
    private final Map<String, Long> watchedMoves = new HashMap<>();

    void replaceSplits(Map<String, VersionSplit> splits) {
        counters.keySet().retainAll(splits.keySet());
        watches.keySet().retainAll(splits.keySet());
        watchedMoves.keySet().retainAll(splits.keySet());
        splits.forEach((route, split) -> {
            VersionSplit old = counter(route).split();
            counter(route).change(split);
            if (watchedMoves.getOrDefault(route, 0L) != split.moveId()) {
                watchedMoves.put(route, split.moveId());
                watches.put(route, new VersionWatch());
            } else if (old.share() != split.share()) {
                watch(route).beginStage();
            }
        });
    }

    VersionWatch watch(String route) {
        return watches.computeIfAbsent(route, key -> new VersionWatch());
    }

    void halt(String route) {
        counter(route).halt();
    }

    /** Returns whether the next request of a route may go to an upstream of a version. */
    boolean allows(String route, String version) {
        SplitCounter counter = counters.get(route);
        if (counter == null) {
            return true;
        }
        VersionSplit split = counter.split();
        return split.allows(version, true) && counter.mayUseNew()
                || split.allows(version, false) && counter.mayUseOld();
    }

    /** Returns whether the next request of a route is to go to the new version if that has a free slot. */
    boolean isNewVersionDue(String route) {
        SplitCounter counter = counters.get(route);
        return counter != null && counter.split().moveId() > 0 && counter.isNewDue();
    }

    /** Returns whether an upstream runs the new version of a route. */
    boolean isNewVersion(String route, String version) {
        return counters.get(route).split().allows(version, true);
    }

    void granted(String route, String version) {
        SplitCounter counter = counters.get(route);
        if (counter != null) {
            counter.granted(counter.split().allows(version, true));
        }
    }

    /**
     * Shows the watch of a route how an attempt ended; endings that say nothing about the upstream are left out.
     *
     * <p>Guards against a good version taken back as slower: times are compared with a yardstick that never changes. Held
     * against learnt speeds, the old version's times seem to drift while the pool learns how fast the new one is.
     */
    void ended(String route, UpstreamState upstream, PermitOutcome outcome, int promptTokens, long now) {
        SplitCounter counter = counters.get(route);
        boolean telling = outcome.ending() == PermitOutcome.Ending.ANSWERED
                || outcome.ending().isFailure() && outcome.ending() != PermitOutcome.Ending.UNREACHABLE;
        if (counter == null || counter.split().moveId() == 0 || !telling) {
            return;
        }
        boolean failed = outcome.ending().isFailure();
        double reference = SpeedEstimate.referenceMicros(promptTokens, Math.max(1, outcome.outputTokens()));
        double slowness = Math.log(Math.max(1, outcome.totalMicros()) / reference);
        double bounded = Math.max(-MAX_LOG_SLOWNESS, Math.min(MAX_LOG_SLOWNESS, slowness));
        if (counter.split().allows(upstream.row().version(), true)) {
            int earlierAnswers = upstream.answerCount() - (failed ? 0 : 1);
            watch(route).observeNew(failed, bounded, earlierAnswers, now / MICROS_PER_MILLI);
        } else {
            watch(route).observeOld(failed, bounded);
        }
    }

    private SplitCounter counter(String route) {
        return counters.computeIfAbsent(route, key -> new SplitCounter(VersionSplit.ANY));
    }
}
