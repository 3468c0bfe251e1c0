package org.radishspur.node.group;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.rollout.RolloutEvaluator;
import org.radishspur.decision.rollout.RolloutEvaluator.Finding;
import org.radishspur.decision.rollout.RolloutEvaluator.OutcomeCounts;
import org.radishspur.decision.rollout.RolloutEvaluator.RouteOutcomes;
import org.radishspur.decision.rollout.UpstreamTimes;
import org.radishspur.decision.rollout.UpstreamTimes.Evidence;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaRunner;
import org.radishspur.node.fleet.FleetMessage.RolloutTimes;
import org.radishspur.node.fleet.FleetMessage.VersionCounts;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.replication.state.CatalogueState.Rollout;
import org.radishspur.replication.state.CatalogueState.RolloutStage;
import org.radishspur.replication.state.ControlCommand;

/**
 * Advances rollouts from stage to stage at the leader, according to the responses that all entries have counted by
 * version.
 */
final class RolloutDriver {
    /**
     * The interval between evaluations of the rollouts, in milliseconds; it delays the end of a bad trial by at most
     * this time.
     */
    private static final long EVALUATION_INTERVAL_MILLIS = 200;

    /**
     * How long all requests go to the target version before the rollout completes and old upstreams may stop, in
     * milliseconds.
     */
    private static final long MOVE_MILLIS = 600;

    /** The time after which a new leader has the reports of the entries, in milliseconds. */
    private static final long REPORT_MILLIS = 1_000;

    private static final double PERCENT = 100;

    private final ControlLoop loop;
    private final ReplicaRunner replica;
    private final EventLog events;
    private final Map<String, Report> reportsByEntry = new HashMap<>();
    private final Map<String, Long> movingSince = new HashMap<>();
    private long leaderSince;

    RolloutDriver(ControlLoop loop, ReplicaRunner replica, EventLog events) {
        this.loop = loop;
        this.replica = replica;
        this.events = events;
        loop.repeat(this::evaluate, EVALUATION_INTERVAL_MILLIS);
    }

    /** Records what an entry has counted and measured since the rollouts began. */
    void record(String entryRun, List<VersionCounts> counts, List<RolloutTimes> times) {
        if (!counts.isEmpty()) {
            reportsByEntry.put(entryRun, new Report(counts, times));
        }
    }

    private void evaluate() {
        if (!replica.isLeader()) {
            movingSince.clear();
            reportsByEntry.clear();
            leaderSince = loop.nowMillis();
            return;
        }
        List<Rollout> unfinished = replica.state().catalogue().rollouts().stream()
                .filter(rollout -> !rollout.stage().isFinal())
                .toList();
        unfinished.forEach(this::evaluate);
        if (unfinished.isEmpty()) {
            reportsByEntry.clear();
        }
    }

    private void evaluate(Rollout rollout) {
        String name = rollout.pool() + '/' + rollout.target();
        Map<String, RouteOutcomes> outcomesByRoute = outcomesByRoute(rollout);
        long elapsed = System.currentTimeMillis() - rollout.startedAtMillis();
        // A new leader must not take the time without reports for a trial without answers.
        boolean hasReports = loop.nowMillis() - leaderSince >= REPORT_MILLIS;
        double share = hasReports ? (double) elapsed / Math.max(1, rollout.periodMillis()) : 0;
        // While all requests move to the version, its upstreams are busier than the others.
        UpstreamTimes times = times(rollout);
        Evidence slowness = rollout.stage() == RolloutStage.RUNNING ? times.slowness() : Evidence.NONE;
        Finding finding = RolloutEvaluator.INSTANCE.evaluate(outcomesByRoute.values(), slowness, share);
        State state = new State(outcomesByRoute.values(), slowness, times.trialUpstreams(), share);
        if (finding.isBad()) {
            advance(rollout, RolloutStage.ROLLED_BACK, finding.name(), state);
        } else if (finding == Finding.GOOD && rollout.stage() == RolloutStage.RUNNING) {
            movingSince.put(name, loop.nowMillis());
            advance(rollout, RolloutStage.MOVING, finding.name(), state);
        } else if (rollout.stage() == RolloutStage.MOVING
                && loop.nowMillis() - movingSince.computeIfAbsent(name, key -> loop.nowMillis()) > MOVE_MILLIS) {
            advance(rollout, RolloutStage.COMPLETED, "MOVED", state);
        }
    }

    private UpstreamTimes times(Rollout rollout) {
        UpstreamTimes times = new UpstreamTimes();
        for (Report report : reportsByEntry.values()) {
            report.times().stream()
                    .filter(each -> isOf(rollout, each.pool(), each.rolloutStartedAtMillis()))
                    .forEach(each -> times.addAll(each.times()));
        }
        return times;
    }

    /** Returns whether a report belongs to a rollout, and not to an earlier one of the same pool. */
    private static boolean isOf(Rollout rollout, String pool, long startedAtMillis) {
        return pool.equals(rollout.pool()) && startedAtMillis == rollout.startedAtMillis();
    }

    private void advance(Rollout rollout, RolloutStage stage, String cause, State state) {
        RouteOutcomes sum = state.sum();
        events.emit(
                EventCode.ROLLOUT,
                rollout.pool(),
                rollout.target(),
                stage,
                sum.trial().answers(),
                sum.trial().failures(),
                sum.trial().unanswered(),
                cause,
                sum.others().answers(),
                sum.others().failures(),
                sum.others().unanswered(),
                state.slowness(),
                state.timedUpstreams(),
                Math.round(PERCENT * state.elapsed()));
        replica.propose(
                new ControlCommand.AdvanceRollout(rollout.pool(), rollout.target(), stage, System.currentTimeMillis()),
                outcome -> {});
    }

    private Map<String, RouteOutcomes> outcomesByRoute(Rollout rollout) {
        Map<String, RouteOutcomes> outcomesByRoute = new HashMap<>();
        for (Report report : reportsByEntry.values()) {
            report.counts().stream()
                    .filter(count -> isOf(rollout, count.pool(), count.rolloutStartedAtMillis()))
                    .forEach(count ->
                            outcomesByRoute.merge(count.route(), outcomes(rollout, count), RouteOutcomes::plus));
        }
        return outcomesByRoute;
    }

    private static RouteOutcomes outcomes(Rollout rollout, VersionCounts count) {
        OutcomeCounts counted = new OutcomeCounts(count.answers(), count.failures(), count.unanswered());
        return count.version().equals(rollout.target())
                ? new RouteOutcomes(counted, OutcomeCounts.NONE)
                : new RouteOutcomes(OutcomeCounts.NONE, counted);
    }

    /**
     * Holds the latest report of one run of an entry.
     *
     * @param counts the responses that it has counted.
     * @param times the times that it has measured.
     */
    private record Report(List<VersionCounts> counts, List<RolloutTimes> times) {}

    /**
     * The evidence on which a rollout moves on.
     *
     * @param routes the outcomes on each route.
     * @param slowness whether the target version is slower.
     * @param timedUpstreams the number of its upstreams whose times are known.
     * @param elapsed the share of the period that has passed.
     */
    private record State(Collection<RouteOutcomes> routes, Evidence slowness, int timedUpstreams, double elapsed) {
        RouteOutcomes sum() {
            return routes.stream()
                    .reduce(RouteOutcomes::plus)
                    .orElse(new RouteOutcomes(OutcomeCounts.NONE, OutcomeCounts.NONE));
        }
    }
}
