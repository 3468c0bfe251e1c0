package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.List;

import org.radishspur.decision.upstream.UpstreamState;

/**
 * Chooses the upstream that is expected to finish a request first, among those that may run it.
 */
final class UpstreamSelector {
    private static final double LATENESS_MARGIN = 1.3;
    private static final double MUCH_SLOWER_FACTOR = 1.4;

    private final CrashSuspects suspects;
    private final VersionRouting versions;
    private final PoolSpeeds speeds;

    UpstreamSelector(CrashSuspects suspects, VersionRouting versions, PoolSpeeds speeds) {
        this.suspects = suspects;
        this.versions = versions;
        this.speeds = speeds;
    }

    /** Returns the chosen upstream, or null where the request had better wait. */
    UpstreamState choose(PermitRequest request, List<UpstreamState> open, long now) {
        if (versions.isNewVersionDue(request.route())) {
            List<UpstreamState> fresh = new ArrayList<>(open);
            fresh.removeIf(upstream ->
                    !versions.isNewVersion(request.route(), upstream.row().version()));
            UpstreamState chosen = chooseAmong(request, fresh, now);
            if (chosen != null) {
                return chosen;
            }
        }
        return chooseAmong(request, open, now);
    }

    private UpstreamState chooseAmong(PermitRequest request, List<UpstreamState> open, long now) {
        boolean apart = suspects.isSuspect(request.fingerprint());
        if (apart && suspects.isAnyRunning()) {
            return null;
        }
        UpstreamState best = null;
        double bestMicros = Double.MAX_VALUE;
        for (UpstreamState upstream : open) {
            boolean fits = (!apart || upstream.inFlight().isEmpty())
                    && versions.allows(request.route(), upstream.row().version());
            double micros = fits ? upstream.selectionMicros(request.work(), now) : Double.MAX_VALUE;
            if (micros < bestMicros) {
                best = upstream;
                bestMicros = micros;
            }
        }
        return best != null && isBetterThanWaiting(request, best, now) ? best : null;
    }

    /**
     * Returns whether a request had better take an upstream than wait for another one. It doesn't take one that would be
     * late, nor one on which it may well be late while much faster ones only happen to be busy.
     */
    private boolean isBetterThanWaiting(PermitRequest request, UpstreamState upstream, long now) {
        if (!upstream.speed().hasEnoughSamples()) {
            return true;
        }
        double expected = upstream.expectedMicros(request.work());
        boolean risky = now + LATENESS_MARGIN * expected > request.deadlineAt();
        boolean muchSlower = expected > MUCH_SLOWER_FACTOR * speeds.shortestServiceMicros(request.work(), now);
        return now + expected <= request.deadlineAt() && !(risky && muchSlower);
    }
}
