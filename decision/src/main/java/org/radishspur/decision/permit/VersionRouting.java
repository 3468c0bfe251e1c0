package org.radishspur.decision.permit;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.decision.move.SplitCounter;
import org.radishspur.decision.move.VersionComparison;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.decision.upstream.SpeedEstimate;
import org.radishspur.decision.upstream.UpstreamState;

/**
 * Restricts the routes of one pool to the versions that they may use, and passes the outcomes of attempts during the
 * move to a new version to the comparison of the versions.
 */
final class VersionRouting {
    /** The bound on the logarithm of the ratio of actual to reference time. */
    private static final double MAX_LOG_SLOWNESS = 12;

    private static final long MICROS_PER_MILLI = 1_000;

    private final Map<String, SplitCounter> counters = new HashMap<>();
    private final Map<String, VersionComparison> comparisons = new HashMap<>();
    private final Map<String, Long> comparedMoves = new HashMap<>();

    void replaceSplits(Map<String, VersionSplit> splits) {
        counters.keySet().retainAll(splits.keySet());
        comparisons.keySet().retainAll(splits.keySet());
        comparedMoves.keySet().retainAll(splits.keySet());
        splits.forEach((route, split) -> {
            VersionSplit old = counter(route).split();
            counter(route).setSplit(split);
            if (comparedMoves.getOrDefault(route, 0L) != split.moveId()) {
                comparedMoves.put(route, split.moveId());
                comparisons.put(route, new VersionComparison());
            } else if (old.share() != split.share()) {
                comparison(route).beginStage();
            }
        });
    }

    VersionComparison comparison(String route) {
        return comparisons.computeIfAbsent(route, key -> new VersionComparison());
    }

    void haltNewVersion(String route) {
        counter(route).haltNewVersion();
    }

    /** Returns whether the next request of a route may go to an upstream of a version. */
    boolean allows(String route, String version) {
        SplitCounter counter = counters.get(route);
        if (counter == null) {
            return true;
        }
        VersionSplit split = counter.split();
        return split.allows(version, true) && counter.isNewVersionAllowed()
                || split.allows(version, false) && counter.isOldVersionAllowed();
    }

    /**
     * Returns whether the next request of a route has to go to the new version if an upstream of it has a free slot.
     */
    boolean isNewVersionDue(String route) {
        SplitCounter counter = counters.get(route);
        return counter != null && counter.split().moveId() > 0 && counter.isNewVersionDue();
    }

    /** Returns whether an upstream runs the new version of a route. */
    boolean isNewVersion(String route, String version) {
        return counters.get(route).split().allows(version, true);
    }

    void granted(String route, String version) {
        SplitCounter counter = counters.get(route);
        if (counter != null) {
            counter.recordGrant(counter.split().allows(version, true));
        }
    }

    /**
     * Passes the outcome of an attempt to the comparison of its route, unless the outcome gives no information about
     * the upstream.
     *
     * <p>Times are compared with a reference that never changes. Compared with measured speeds, the times of the old
     * version would seem to drift while the pool measures the speed of the new one, and a good version would be rolled
     * back as slower.
     */
    void ended(String route, UpstreamState upstream, PermitOutcome outcome, int promptTokens, long now) {
        SplitCounter counter = counters.get(route);
        boolean relevant = outcome.ending() == PermitOutcome.Ending.ANSWERED
                || outcome.ending().isFailure() && outcome.ending() != PermitOutcome.Ending.UNREACHABLE;
        if (counter == null || counter.split().moveId() == 0 || !relevant) {
            return;
        }
        boolean failed = outcome.ending().isFailure();
        double reference = SpeedEstimate.referenceMicros(promptTokens, Math.max(1, outcome.outputTokens()));
        double slowness = Math.log(Math.max(1, outcome.totalMicros()) / reference);
        double bounded = Math.max(-MAX_LOG_SLOWNESS, Math.min(MAX_LOG_SLOWNESS, slowness));
        if (counter.split().allows(upstream.row().version(), true)) {
            int earlierAnswers = upstream.answerCount() - (failed ? 0 : 1);
            comparison(route).observeNew(failed, bounded, earlierAnswers, now / MICROS_PER_MILLI);
        } else {
            comparison(route).observeOld(failed, bounded);
        }
    }

    private SplitCounter counter(String route) {
        return counters.computeIfAbsent(route, key -> new SplitCounter(VersionSplit.ANY));
    }
}
