package org.radishspur.node.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.dispatch.RolloutJudge;
import org.radishspur.decision.dispatch.RolloutJudge.Evidence;
import org.radishspur.decision.dispatch.RolloutJudge.Side;
import org.radishspur.decision.dispatch.RolloutJudge.Verdict;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaHost;
import org.radishspur.node.fleet.FleetMessage.VersionCounts;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.replication.state.CatalogueState.Rollout;
import org.radishspur.replication.state.CatalogueState.RolloutStage;
import org.radishspur.replication.state.ControlCommand;

/**
 * Moves rollouts from stage to stage at the leader, by what all entries have seen of the versions.
 */
final class RolloutDriver {
    /** How often rollouts are evaluated, in milliseconds; a bad version gets at most this much longer. */
    private static final long EVALUATION_INTERVAL_MILLIS = 200;

    /** How long requests go to the target alone before the old upstreams may stop, in milliseconds. */
    private static final long MOVE_MILLIS = 600;

    private final ControlLoop loop;
    private final ReplicaHost replica;
    private final EventLog events;
    private final Map<String, List<VersionCounts>> countsByEntry = new HashMap<>();
    private final Map<String, List<VersionCounts>> baselinesByEntry = new HashMap<>();
    private final Map<String, Long> movingSince = new HashMap<>();
    private String evaluatedRollout = "";

    RolloutDriver(ControlLoop loop, ReplicaHost replica, EventLog events) {
        this.loop = loop;
        this.replica = replica;
        this.events = events;
        loop.repeat(this::evaluate, EVALUATION_INTERVAL_MILLIS);
    }

    void recordCounts(String entryRun, List<VersionCounts> seen) {
        countsByEntry.put(entryRun, seen);
        baselinesByEntry.putIfAbsent(entryRun, seen);
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
            // What was seen before the order says nothing of the trial.
            evaluatedRollout = name;
            baselinesByEntry.clear();
            baselinesByEntry.putAll(countsByEntry);
        }
        Map<String, Evidence> evidence = evidence(rollout);
        long elapsed = System.currentTimeMillis() - rollout.startedAtMillis();
        double share = (double) elapsed / Math.max(1, rollout.periodMillis());
        Verdict verdict = RolloutJudge.INSTANCE.judge(evidence.values(), share);
        if (verdict == Verdict.BAD) {
            advance(rollout, RolloutStage.ROLLED_BACK, evidence, "evidence against the version");
        } else if (verdict == Verdict.GOOD && rollout.stage() == RolloutStage.RUNNING) {
            movingSince.put(name, loop.nowMillis());
            advance(rollout, RolloutStage.MOVING, evidence, "no evidence against the version");
        } else if (rollout.stage() == RolloutStage.MOVING
                && loop.nowMillis() - movingSince.computeIfAbsent(name, key -> loop.nowMillis()) > MOVE_MILLIS) {
            advance(rollout, RolloutStage.COMPLETED, evidence, "the requests have moved");
        }
    }

    private void advance(Rollout rollout, RolloutStage stage, Map<String, Evidence> evidence, String cause) {
        Side trial = Side.NONE;
        for (Evidence each : evidence.values()) {
            trial = trial.plus(each.trial());
        }
        events.emit(
                EventCode.ROLLOUT, rollout.pool(), rollout.target(), stage, trial.answers(), trial.failures(), cause);
        replica.propose(
                new ControlCommand.AdvanceRollout(rollout.pool(), rollout.target(), stage, System.currentTimeMillis()),
                proposal -> {});
    }

    private Map<String, Evidence> evidence(Rollout rollout) {
        Map<String, Evidence> routes = new HashMap<>();
        for (Map.Entry<String, List<VersionCounts>> entry : countsByEntry.entrySet()) {
            addCounts(rollout, entry.getValue(), 1, routes);
            addCounts(rollout, baselinesByEntry.getOrDefault(entry.getKey(), new ArrayList<>()), -1, routes);
        }
        return routes;
    }

    private static void addCounts(Rollout rollout, List<VersionCounts> seen, int sign, Map<String, Evidence> routes) {
        for (VersionCounts tally : seen) {
            if (!tally.pool().equals(rollout.pool())) {
                continue;
            }
            Side side = new Side(
                    sign * tally.answers(),
                    sign * tally.failures(),
                    sign * (tally.firstMillis() + tally.eventMillis()));
            Evidence before = routes.getOrDefault(tally.route(), new Evidence(Side.NONE, Side.NONE));
            boolean trial = tally.version().equals(rollout.target());
            routes.put(
                    tally.route(),
                    trial
                            ? new Evidence(before.trial().plus(side), before.others())
                            : new Evidence(before.trial(), before.others().plus(side)));
        }
    }
}
