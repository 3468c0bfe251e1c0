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
 * Advances rollouts from stage to stage at the leader, according to the answers that all entries have counted by version.
 */
final class RolloutDriver {
    /** The interval between evaluations of the rollouts, in milliseconds; it delays the end of a bad trial by at most this time. */
    private static final long EVALUATION_INTERVAL_MILLIS = 200;

    /** How long all requests go to the target version before the rollout completes and old upstreams may stop, in milliseconds. */
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
            // Answers that were counted before the rollout started are no evidence for the trial.
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
        for (Evidence route : evidence.values()) {
            trial = trial.plus(route.trial());
        }
        events.emit(
                EventCode.ROLLOUT, rollout.pool(), rollout.target(), stage, trial.answers(), trial.failures(), cause);
        replica.propose(
                new ControlCommand.AdvanceRollout(rollout.pool(), rollout.target(), stage, System.currentTimeMillis()),
                proposal -> {});
    }

    private Map<String, Evidence> evidence(Rollout rollout) {
        Map<String, Evidence> evidenceByRoute = new HashMap<>();
        for (Map.Entry<String, List<VersionCounts>> entry : countsByEntry.entrySet()) {
            addCounts(rollout, entry.getValue(), 1, evidenceByRoute);
            addCounts(rollout, baselinesByEntry.getOrDefault(entry.getKey(), new ArrayList<>()), -1, evidenceByRoute);
        }
        return evidenceByRoute;
    }

    private static void addCounts(
            Rollout rollout, List<VersionCounts> counts, int sign, Map<String, Evidence> evidenceByRoute) {
        for (VersionCounts count : counts) {
            if (!count.pool().equals(rollout.pool())) {
                continue;
            }
            Side side = new Side(
                    sign * count.answers(),
                    sign * count.failures(),
                    sign * (count.firstMillis() + count.eventMillis()));
            Evidence previous = evidenceByRoute.getOrDefault(count.route(), new Evidence(Side.NONE, Side.NONE));
            boolean isTrial = count.version().equals(rollout.target());
            evidenceByRoute.put(
                    count.route(),
                    isTrial
                            ? new Evidence(previous.trial().plus(side), previous.others())
                            : new Evidence(previous.trial(), previous.others().plus(side)));
        }
    }
}
