package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.upstream.InFlightRequest;
import org.radishspur.decision.upstream.UpstreamState;

/**
 * Ejects upstreams that fail or are much slower than comparable ones. Never leaves a pool that has members without a
 * usable upstream.
 */
final class Ejector {
    /** From how many times its expected time on a request in flight is overdue. */
    private static final double OVERDUE_FACTOR = 3;

    private final SchedulerOptions options;
    private final Map<String, UpstreamState> upstreams;
    private final List<PermitAction> actions;

    Ejector(SchedulerOptions options, Map<String, UpstreamState> upstreams, List<PermitAction> actions) {
        this.options = options;
        this.upstreams = upstreams;
        this.actions = actions;
    }

    /**
     * Ejects an upstream unless too large a share of the pool would be ejected at the same time. The share limits the
     * damage of a wrong decision about failures or speed. It doesn't apply to an upstream to which no connection can be
     * made, since that can serve no request; such an upstream is kept only if no other one can be used in its place.
     */
    void eject(UpstreamState upstream, PermitAction.EjectionCause cause, long now) {
        boolean unreachable = cause == PermitAction.EjectionCause.UNREACHABLE;
        if (unreachable && isLastUsable(upstream, now)) {
            readmitOneInPlaceOf(upstream);
        }
        long memberCount =
                upstreams.values().stream().filter(UpstreamState::isMember).count();
        long ejectedCount = upstreams.values().stream()
                .filter(other -> other != upstream && other.isMember() && !other.isUsable(now))
                .count();
        boolean withinShare = ejectedCount + 1 <= Math.max(1, memberCount * options.maxEjectedShare());
        boolean allowed = (unreachable || withinShare) && ejectedCount + 1 < memberCount;
        if (allowed && upstream.isUsable(now)) {
            upstream.eject(unreachable, now);
            actions.add(new PermitAction.Ejected(upstream.name(), cause));
        }
    }

    private boolean isLastUsable(UpstreamState upstream, long now) {
        return upstreams.values().stream().noneMatch(other -> other != upstream && other.isUsable(now));
    }

    /**
     * Readmits an upstream that was ejected for failures or speed, since it can serve requests, unlike the one that no
     * connection can be made to.
     */
    private void readmitOneInPlaceOf(UpstreamState unreachable) {
        upstreams.values().stream()
                .filter(other -> other != unreachable && other.isMember() && !other.wasUnreachable())
                .min(Comparator.comparingLong(UpstreamState::ejectedUntil))
                .ifPresent(UpstreamState::readmit);
    }

    /**
     * Readmits the upstream whose ejection ends first if no upstream of the pool is usable, a reachable one if there is
     * any.
     *
     * <p>The checks at an ejection can't prevent this state: the upstreams that were usable then may leave the pool
     * later.
     */
    void readmitOneIfAllEjected(long now) {
        boolean noneUsable = upstreams.values().stream().noneMatch(upstream -> upstream.isUsable(now));
        if (noneUsable) {
            upstreams.values().stream()
                    .filter(UpstreamState::isMember)
                    .min(Comparator.comparing(UpstreamState::wasUnreachable)
                            .thenComparingLong(UpstreamState::ejectedUntil))
                    .ifPresent(UpstreamState::readmit);
        }
    }

    /**
     * Returns the key of the upstreams that one is compared with: those of the same hardware and version. Versions are
     * kept apart because the move to a new version checks its speed itself.
     */
    private static String comparisonGroup(UpstreamState upstream) {
        return upstream.row().hardware() + '/' + upstream.row().version();
    }

    /**
     * Ejects the upstreams that are much slower than the median of those with the same hardware and version. Requests
     * in flight that are overdue count before they end.
     */
    void ejectSlowUpstreams(long now) {
        Map<String, List<Double>> outputMicrosByGroup = new HashMap<>();
        for (UpstreamState upstream : upstreams.values()) {
            for (InFlightRequest flight : upstream.inFlight().values()) {
                if (flight.becameOverdue(OVERDUE_FACTOR, now)) {
                    double minMicrosPerToken = flight.elapsed(now)
                            / (double) Math.max(1, flight.request().size().outputTokens());
                    upstream.speed().addOverdueOutputTime(minMicrosPerToken, flight.startedAt(), now);
                }
            }
            if (upstream.isUsable(now) && upstream.isComparable()) {
                outputMicrosByGroup
                        .computeIfAbsent(comparisonGroup(upstream), key -> new ArrayList<>())
                        .add(upstream.speed().outputMicros());
            }
        }
        Map<String, Double> medians = new HashMap<>();
        outputMicrosByGroup.forEach((group, times) -> {
            if (times.size() > 1) {
                times.sort(Comparator.naturalOrder());
                medians.put(group, times.get((times.size() - 1) / 2));
            }
        });
        for (UpstreamState upstream : upstreams.values()) {
            Double median = medians.get(comparisonGroup(upstream));
            boolean comparable = median != null && upstream.isUsable(now) && upstream.isComparable();
            if (comparable && upstream.speed().outputMicros() > options.slowFactor() * median) {
                eject(upstream, PermitAction.EjectionCause.SLOW, now);
            }
        }
    }
}
