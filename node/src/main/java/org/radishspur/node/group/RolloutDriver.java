package org.radishspur.node.group;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.radishspur.decision.rollout.OutcomeCounts;
import org.radishspur.decision.rollout.RolloutEvaluator.Finding;
import org.radishspur.decision.rollout.RolloutTrial;
import org.radishspur.decision.rollout.RouteOutcomes;
import org.radishspur.decision.rollout.UpstreamTimes;
import org.radishspur.decision.rollout.UpstreamTimes.Evidence;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaRunner;
import org.radishspur.node.fleet.FleetMessage;
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

    /** The time after which a new leader has the reports of the entries, in milliseconds. */
    private static final long REPORT_MILLIS = 1_000;

    private static final double PERCENT = 100;

    private final ControlLoop loop;
    private final ReplicaRunner replica;
    private final EventLog events;
    private final Map<String, Report> reportsByEntry = new HashMap<>();
    private final Map<String, TrialOf> trialsByPool = new HashMap<>();
    private final RolloutClock clock = new RolloutClock();
    private long leaderSince;

    RolloutDriver(ControlLoop loop, ReplicaRunner replica, EventLog events) {
        this.loop = loop;
        this.replica = replica;
        this.events = events;
        loop.repeat(this::evaluate, EVALUATION_INTERVAL_MILLIS);
    }

    /** Records what an entry has counted and measured since the rollouts began, and before. */
    void record(FleetMessage.ViewRequest request) {
        if (!request.versionCounts().isEmpty() || !request.countsBefore().isEmpty()) {
            reportsByEntry.put(
                    request.entry() + '/' + request.incarnation(),
                    new Report(request.versionCounts(), request.rolloutTimes(), request.countsBefore()));
        }
    }

    /** Returns the pools whose version under trial must get no requests for now. */
    Set<String> pausedTrials() {
        return trialsByPool.entrySet().stream()
                .filter(each -> each.getValue().trial().isPaused())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private void evaluate() {
        List<Rollout> unfinished = replica.state().catalogue().rollouts().stream()
                .filter(rollout -> !rollout.stage().isFinal())
                .toList();
        clock.observe(unfinished, System.currentTimeMillis(), loop.nowMillis());
        if (!replica.isLeader()) {
            trialsByPool.clear();
            reportsByEntry.clear();
            leaderSince = loop.nowMillis();
            return;
        }
        trialsByPool.keySet().retainAll(unfinished.stream().map(Rollout::pool).toList());
        unfinished.forEach(this::evaluate);
        if (unfinished.isEmpty()) {
            reportsByEntry.clear();
        }
    }

    private void evaluate(Rollout rollout) {
        long now = loop.nowMillis();
        Map<String, RouteOutcomes> outcomesByRoute = outcomesByRoute(rollout);
        // A new leader must not take the time without reports for a trial without answers.
        boolean hasReports = now - leaderSince >= REPORT_MILLIS;
        double elapsed = hasReports ? clock.elapsedShare(rollout, now) : 0;
        UpstreamTimes times = times(rollout);
        RolloutTrial trial = trial(rollout);
        boolean moving = rollout.stage() == RolloutStage.MOVING;
        Finding finding = trial.evaluate(outcomesByRoute, times, elapsed, now, moving);
        State state = new State(outcomesByRoute.values(), trial.slowness(), times.trialUpstreams(), elapsed);
        if (finding.isBad()) {
            advance(rollout, RolloutStage.ROLLED_BACK, finding.name(), state);
        } else if (finding == Finding.GOOD && !moving) {
            advance(rollout, RolloutStage.MOVING, finding.name(), state);
        } else if (moving && trial.isMoved(elapsed, now)) {
            advance(rollout, RolloutStage.COMPLETED, "MOVED", state);
        }
    }

    /** Returns the trial of a rollout; one that replaces another of its pool begins anew. */
    private RolloutTrial trial(Rollout rollout) {
        return trialsByPool
                .compute(
                        rollout.pool(),
                        (pool, known) -> known != null && known.startedAtMillis() == rollout.startedAtMillis()
                                ? known
                                : new TrialOf(rollout.startedAtMillis(), new RolloutTrial()))
                .trial();
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
            report.countsBefore().stream()
                    .filter(count -> isOf(rollout, count.pool(), count.rolloutStartedAtMillis()))
                    .forEach(count -> outcomesByRoute.merge(
                            count.route(),
                            new RouteOutcomes(OutcomeCounts.NONE, OutcomeCounts.NONE, counts(count)),
                            RouteOutcomes::plus));
            report.counts().stream()
                    .filter(count -> isOf(rollout, count.pool(), count.rolloutStartedAtMillis()))
                    .forEach(count ->
                            outcomesByRoute.merge(count.route(), outcomes(rollout, count), RouteOutcomes::plus));
        }
        return outcomesByRoute;
    }

    private static RouteOutcomes outcomes(Rollout rollout, VersionCounts count) {
        return count.version().equals(rollout.target())
                ? new RouteOutcomes(counts(count), OutcomeCounts.NONE)
                : new RouteOutcomes(OutcomeCounts.NONE, counts(count));
    }

    private static OutcomeCounts counts(VersionCounts count) {
        return new OutcomeCounts(count.answers(), count.failures(), count.unanswered());
    }

    /**
     * The trial of one rollout of a pool.
     *
     * @param startedAtMillis the start of the rollout, in milliseconds since the epoch.
     * @param trial its trial.
     */
    private record TrialOf(long startedAtMillis, RolloutTrial trial) {}

    /**
     * Holds the latest report of one run of an entry.
     *
     * @param counts the responses that it has counted.
     * @param times the times that it has measured.
     * @param countsBefore the responses that it had counted before the rollouts.
     */
    private record Report(List<VersionCounts> counts, List<RolloutTimes> times, List<VersionCounts> countsBefore) {}

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
            return routes.stream().reduce(RouteOutcomes.NONE, RouteOutcomes::plus);
        }
    }
}
