package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.List;

import org.radishspur.decision.upstream.UpstreamState;

/**
 * Selects the upstream that is expected to finish a request first, among those that may run it.
 */
final class UpstreamSelector {
    /** The factor on the expected time of a request within which its deadline counts as at risk. */
    private static final double LATENESS_MARGIN = 1.3;

    /** From how many times the shortest service time of the pool on an upstream counts as much slower. */
    private static final double MUCH_SLOWER_FACTOR = 1.4;

    private final CrashSuspects suspects;
    private final VersionRouting versions;
    private final PoolSpeeds speeds;

    UpstreamSelector(CrashSuspects suspects, VersionRouting versions, PoolSpeeds speeds) {
        this.suspects = suspects;
        this.versions = versions;
        this.speeds = speeds;
    }

    /** Returns the selected upstream, or null where waiting is better for the request. */
    UpstreamState choose(PermitRequest request, List<UpstreamState> available, long now) {
        if (versions.isNewVersionDue(request.route())) {
            List<UpstreamState> newVersion = new ArrayList<>(available);
            newVersion.removeIf(upstream ->
                    !versions.isNewVersion(request.route(), upstream.row().version()));
            UpstreamState chosen = chooseAmong(request, newVersion, now);
            if (chosen != null) {
                return chosen;
            }
        }
        return chooseAmong(request, available, now);
    }

    private UpstreamState chooseAmong(PermitRequest request, List<UpstreamState> available, long now) {
        boolean exclusive = suspects.isSuspect(request.fingerprint());
        if (exclusive && suspects.isAnyRunning()) {
            return null;
        }
        UpstreamState best = null;
        double bestMicros = Double.MAX_VALUE;
        for (UpstreamState upstream : available) {
            boolean fits = (!exclusive || upstream.runningCount() == 0)
                    && versions.allows(request.route(), upstream.row().version());
            double micros = fits ? upstream.selectionMicros(request.size(), now) : Double.MAX_VALUE;
            if (micros < bestMicros) {
                best = upstream;
                bestMicros = micros;
            }
        }
        return best != null && isBetterThanWaiting(request, best, now) ? best : null;
    }

    /**
     * Returns whether running a request on an upstream now is better than waiting for another upstream. Waiting is
     * better if the upstream is expected to miss the deadline, or if it puts the deadline at risk and the pool has much
     * faster upstreams that are busy at the moment. An upstream whose speed is unknown is always used.
     */
    private boolean isBetterThanWaiting(PermitRequest request, UpstreamState upstream, long now) {
        if (!upstream.speed().hasEnoughSamples()) {
            return true;
        }
        double expected = upstream.decayedExpectedMicros(request.size(), now);
        boolean atRisk = now + LATENESS_MARGIN * expected > request.deadlineAt();
        boolean muchSlower = expected > MUCH_SLOWER_FACTOR * speeds.shortestServiceMicros(request.size(), now);
        return now + expected <= request.deadlineAt() && !(atRisk && muchSlower);
    }
}
