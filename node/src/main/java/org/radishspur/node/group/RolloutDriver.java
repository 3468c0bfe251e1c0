package org.radishspur.node.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.dispatch.RolloutEvaluator;
import org.radishspur.decision.dispatch.RolloutEvaluator.OutcomeCounts;
import org.radishspur.decision.dispatch.RolloutEvaluator.RouteOutcomes;
import org.radishspur.decision.dispatch.RolloutEvaluator.Verdict;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaRunner;
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

    private final ControlLoop loop;
    private final ReplicaRunner replica;
    private final EventLog events;
    private final Map<String, List<VersionCounts>> countsByEntry = new HashMap<>();
    private final Map<String, List<VersionCounts>> baselinesByEntry = new HashMap<>();
    private final Map<String, Long> movingSince = new HashMap<>();
    private String evaluatedRollout = "";

    RolloutDriver(ControlLoop loop, ReplicaRunner replica, EventLog events) {
        this.loop = loop;
        this.replica = replica;
        this.events = events;
        loop.repeat(this::evaluate, EVALUATION_INTERVAL_MILLIS);
    }

    void recordCounts(String entryRun, List<VersionCounts> counts) {
        countsByEntry.put(entryRun, counts);
        baselinesByEntry.putIfAbsent(entryRun, counts);
    }

    private void evaluate() {
        if (!replica.isLeader()) {
            movingSince.clear();
            return;
        }
        for (Rollout rollout : replica.state().catalogue().rollouts()) {
            if (!rollout.stage().isFinal()) {
                evaluate(rollout);
            }
        }
    }

    private void evaluate(Rollout rollout) {
        String name = rollout.pool() + '/' + rollout.target();
        if (!evaluatedRollout.equals(name)) {
            // Responses that were counted before the rollout started are no evidence for the trial.
            evaluatedRollout = name;
            baselinesByEntry.clear();
            baselinesByEntry.putAll(countsByEntry);
        }
        Map<String, RouteOutcomes> outcomesByRoute = outcomesByRoute(rollout);
        long elapsed = System.currentTimeMillis() - rollout.startedAtMillis();
        double share = (double) elapsed / Math.max(1, rollout.periodMillis());
        Verdict verdict = RolloutEvaluator.INSTANCE.evaluate(outcomesByRoute.values(), share);
        if (verdict == Verdict.BAD) {
            advance(rollout, RolloutStage.ROLLED_BACK, outcomesByRoute, "evidence against the version");
        } else if (verdict == Verdict.GOOD && rollout.stage() == RolloutStage.RUNNING) {
            movingSince.put(name, loop.nowMillis());
            advance(rollout, RolloutStage.MOVING, outcomesByRoute, "no evidence against the version");
        } else if (rollout.stage() == RolloutStage.MOVING
                && loop.nowMillis() - movingSince.computeIfAbsent(name, key -> loop.nowMillis()) > MOVE_MILLIS) {
            advance(rollout, RolloutStage.COMPLETED, outcomesByRoute, "the requests have moved");
        }
    }

    private void advance(
            Rollout rollout, RolloutStage stage, Map<String, RouteOutcomes> outcomesByRoute, String cause) {
        OutcomeCounts trial = OutcomeCounts.NONE;
        for (RouteOutcomes route : outcomesByRoute.values()) {
            trial = trial.plus(route.trial());
        }
        events.emit(
                EventCode.ROLLOUT, rollout.pool(), rollout.target(), stage, trial.answers(), trial.failures(), cause);
        replica.propose(
                new ControlCommand.AdvanceRollout(rollout.pool(), rollout.target(), stage, System.currentTimeMillis()),
                outcome -> {});
    }

    private Map<String, RouteOutcomes> outcomesByRoute(Rollout rollout) {
        Map<String, RouteOutcomes> outcomesByRoute = new HashMap<>();
        for (Map.Entry<String, List<VersionCounts>> entry : countsByEntry.entrySet()) {
            addCounts(rollout, entry.getValue(), 1, outcomesByRoute);
            addCounts(rollout, baselinesByEntry.getOrDefault(entry.getKey(), new ArrayList<>()), -1, outcomesByRoute);
        }
        return outcomesByRoute;
    }

    private static void addCounts(
            Rollout rollout, List<VersionCounts> counts, int sign, Map<String, RouteOutcomes> outcomesByRoute) {
        for (VersionCounts count : counts) {
            if (!count.pool().equals(rollout.pool())) {
                continue;
            }
            OutcomeCounts added = new OutcomeCounts(
                    sign * count.answers(),
                    sign * count.failures(),
                    sign * (count.firstMillis() + count.eventMillis()));
            RouteOutcomes previous = outcomesByRoute.getOrDefault(
                    count.route(), new RouteOutcomes(OutcomeCounts.NONE, OutcomeCounts.NONE));
            boolean isTrial = count.version().equals(rollout.target());
            outcomesByRoute.put(
                    count.route(),
                    isTrial
                            ? new RouteOutcomes(previous.trial().plus(added), previous.others())
                            : new RouteOutcomes(
                                    previous.trial(), previous.others().plus(added)));
        }
    }
}
