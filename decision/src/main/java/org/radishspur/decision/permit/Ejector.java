package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.upstream.UpstreamState;

/**
 * Ejects upstreams that fail or are much slower than their siblings, and sees to it that a pool is never emptied.
 */
final class Ejector {
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
     * Ejects an upstream, unless too much of the pool would be ejected at once. That bound is there for judgements, which
     * may be wrong; an upstream to which no connection can be made serves nobody, and goes unless it is the last.
     */
    void eject(UpstreamState upstream, PermitAction.EjectionCause cause, long now) {
        long members =
                upstreams.values().stream().filter(UpstreamState::isMember).count();
        long ejected = upstreams.values().stream()
                .filter(other -> other != upstream && other.isMember() && !other.isUsable(now))
                .count();
        boolean withinShare = ejected + 1 <= Math.max(1, members * options.maxEjectedShare());
        boolean certain = cause == PermitAction.EjectionCause.UNREACHABLE;
        boolean allowed = (certain || withinShare) && ejected + 1 < members;
        if (allowed && upstream.isUsable(now)) {
            upstream.eject(now);
            actions.add(new PermitAction.Ejected(upstream.name(), cause));
        }
    }

    /**
     * Ends the ejection of the upstream whose turn is next if no other one is left.
     *
     * <p>Guards against a pool emptied in two steps: the cap on ejections held when an upstream was ejected, but the
     * others have left the pool since.
     */
    void readmitOneIfAllEjected(long now) {
        boolean emptied = upstreams.values().stream().noneMatch(upstream -> upstream.isUsable(now));
        if (emptied) {
            upstreams.values().stream()
                    .filter(UpstreamState::isMember)
                    .min(Comparator.comparingLong(UpstreamState::ejectedUntil))
                    .ifPresent(UpstreamState::readmit);
        }
    }

    /** Names what an upstream is compared by: whether a new version is too slow is for its move to judge. */
    private static String comparisonGroup(UpstreamState upstream) {
        return upstream.row().hardware() + '/' + upstream.row().version();
    }

    /** Compares upstreams with their siblings of the same hardware and version, counting requests that are overdue. */
    void ejectSlowUpstreams(long now) {
        Map<String, List<Double>> byHardware = new HashMap<>();
        for (UpstreamState upstream : upstreams.values()) {
            for (UpstreamState.InFlight flight : upstream.inFlight().values()) {
                if (flight.becameOverdue(OVERDUE_FACTOR, now)) {
                    double least = flight.elapsed(now)
                            / (double) Math.max(1, flight.request().work().outputTokens());
                    upstream.speed().learnOverdue(least);
                }
            }
            if (upstream.isUsable(now) && upstream.speed().hasEnoughSamples()) {
                byHardware
                        .computeIfAbsent(comparisonGroup(upstream), key -> new ArrayList<>())
                        .add(upstream.speed().outputMicros());
            }
        }
        Map<String, Double> medians = new HashMap<>();
        byHardware.forEach((hardware, times) -> {
            if (times.size() > 1) {
                times.sort(Comparator.naturalOrder());
                medians.put(hardware, times.get((times.size() - 1) / 2));
            }
        });
        for (UpstreamState upstream : upstreams.values()) {
            Double median = medians.get(comparisonGroup(upstream));
            boolean evaluated =
                    median != null && upstream.isUsable(now) && upstream.speed().hasEnoughSamples();
            if (evaluated && upstream.speed().outputMicros() > options.slowFactor() * median) {
                eject(upstream, PermitAction.EjectionCause.SLOW, now);
            }
        }
    }
}
