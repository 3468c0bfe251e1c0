package org.radishspur.testkit.move;

import java.util.Random;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.move.MoveState;
import org.radishspur.decision.move.SplitCounter;
import org.radishspur.decision.move.VersionComparison;
import org.radishspur.decision.move.VersionSplit;

/**
 * Simulates one move of one route to a new version, in virtual time.
 */
final class MoveTrial {
    private static final long WINDOW_MILLIS = 60L * 60 * 1000;
    private static final long TICK_MILLIS = 200;
    private static final long COMMIT_MILLIS = 50;
    private static final long FAULT_REACTION_MILLIS = 2_000;
    private static final double MILLIS_PER_MINUTE = 60_000;

    private final VersionKind kind;
    private final double requestsPerMinute;
    private final boolean secondRoute;
    private final Random random;
    private long firstFaultAt = -1;
    private long requests;
    private long toNew;
    private long afterFirstFault;

    MoveTrial(VersionKind kind, double requestsPerMinute, boolean secondRoute, long seed) {
        this.kind = kind;
        this.requestsPerMinute = requestsPerMinute;
        this.secondRoute = secondRoute;
        this.random = new Random(seed);
    }

    /**
     * Runs the move by the product's policy. Once the watch has a reason to roll back the new version, that version
     * receives no further requests; a change of state is dated by its commit.
     */
    MoveOutcome run() {
        Move move = Move.begin(1, "route", "old", "new", 0, WINDOW_MILLIS);
        VersionComparison watch = new VersionComparison();
        SplitCounter counter = new SplitCounter(splitOf(move));
        boolean completedInTime = false;
        long now = 0;
        long nextRequest = drawGapMillis();
        long nextTick = TICK_MILLIS;
        while (!move.state().isFinal()) {
            now = Math.min(nextRequest, nextTick);
            if (now == nextRequest) {
                nextRequest = now + drawGapMillis();
                handleRequest(move, watch, counter, now);
            } else {
                nextTick = now + TICK_MILLIS;
            }
            if (watch.detectedFault() != org.radishspur.decision.move.RollbackReason.NONE) {
                counter.haltNewVersion();
            }
            var proposal = MoveDriver.INSTANCE.decide(move, watch, now);
            if (proposal.isPresent()) {
                MoveDriver.Proposal change = proposal.get();
                move = move.with(change.state(), change.stage(), change.reason(), now + COMMIT_MILLIS);
                counter.setSplit(splitOf(move));
                watch.beginStage();
            }
            completedInTime |= move.state() == MoveState.COMPLETED && now <= WINDOW_MILLIS + TICK_MILLIS;
        }
        boolean rolledBack = move.state() == MoveState.TAKEN_BACK;
        return new MoveOutcome(
                kind.isBadOn(secondRoute), completedInTime, rolledBack, requests, toNew, afterFirstFault, now);
    }

    private void handleRequest(Move move, VersionComparison watch, SplitCounter counter, long now) {
        requests++;
        boolean useNew = counter.isNewVersionAllowed();
        counter.recordGrant(useNew);
        if (!useNew) {
            VersionKind.Answer old = VersionKind.drawAnswer(random, 1);
            watch.observeOld(old.failed(), old.logSlowness());
            return;
        }
        VersionKind.Answer answer = drawNewVersionAnswer(move.share(), now);
        watch.observeNew(answer.failed(), answer.logSlowness(), (int) toNew - 1, now);
    }

    private VersionKind.Answer drawNewVersionAnswer(double share, long now) {
        toNew++;
        if (firstFaultAt >= 0 && now > firstFaultAt + FAULT_REACTION_MILLIS) {
            afterFirstFault++;
        }
        VersionKind.Answer answer = kind.answer(
                new VersionKind.Context(now / (double) WINDOW_MILLIS, share, secondRoute, toNew - 1, now), random);
        if (answer.fault() && firstFaultAt < 0) {
            firstFaultAt = now;
        }
        return answer;
    }

    /** Runs the move as a canary with fixed steps and fixed thresholds. */
    MoveOutcome runFixedCanary() {
        double[] shares = {0.05, 0.25, 0.5, 1};
        double maximumFailureShare = 0.05;
        double maximumLogSlowness = Math.log(1.5);
        long step = WINDOW_MILLIS / (shares.length + 1);
        long now = 0;
        for (double share : shares) {
            long until = now + step;
            long answers = 0;
            long failures = 0;
            double logSlownessSum = 0;
            for (now += drawGapMillis(); now < until; now += drawGapMillis()) {
                requests++;
                if (random.nextDouble() < share) {
                    VersionKind.Answer answer = drawNewVersionAnswer(share, now);
                    answers++;
                    failures += answer.failed() ? 1 : 0;
                    logSlownessSum += answer.failed() ? 0 : answer.logSlowness();
                }
            }
            now = until;
            boolean bad = answers > 0
                    && (failures > maximumFailureShare * answers
                            || logSlownessSum / Math.max(1, answers - failures) > maximumLogSlowness);
            if (bad) {
                return new MoveOutcome(kind.isBadOn(secondRoute), false, true, requests, toNew, afterFirstFault, now);
            }
        }
        return new MoveOutcome(kind.isBadOn(secondRoute), true, false, requests, toNew, afterFirstFault, now);
    }

    private long drawGapMillis() {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) * MILLIS_PER_MINUTE / requestsPerMinute);
    }

    private static VersionSplit splitOf(Move move) {
        return new VersionSplit(move.id(), move.from(), move.to(), move.share());
    }
}
