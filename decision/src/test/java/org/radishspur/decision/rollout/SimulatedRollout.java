package org.radishspur.decision.rollout;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Random;

import org.radishspur.decision.rollout.RolloutEvaluator.Finding;

/**
 * Plays one rollout in virtual time: two routes, of which one fails often by itself, a trial at a share of the requests, a
 * move, and an evaluation of outcomes that arrive some time later.
 */
final class SimulatedRollout {
    private static final double TRIAL_SHARE = 0.07;
    private static final long STEP_MILLIS = 200;
    private static final long REPORT_MILLIS = 400;
    private static final long BEFORE_MILLIS = 5_000;
    private static final double[] ROUTE_SHARES = {0.7, 0.3};
    private static final double[] USUAL_FAILURES = {0.004, 0.14};

    /** The number of bad answers after which a bad version may get requests for some time only. */
    private static final int PROVING_BAD_ANSWERS = 50;

    private static final long ROLLBACK_MILLIS = 5_000;
    private static final double MAX_EXPOSED_SHARE = 0.1;
    private static final int EXPOSURE_SLACK = 50;

    private final Scenario scenario;
    private final Random random;
    private final Map<String, RouteOutcomes> sums = new HashMap<>();
    private final Queue<Report> reports = new ArrayDeque<>();
    private RolloutTrial trial = new RolloutTrial();
    private Finding finding = Finding.UNDECIDED;
    private Stage stage = Stage.RUNNING;
    private long exposed;
    private long requests;
    private long bad;
    private long provenAt = Long.MAX_VALUE;
    private boolean late;
    private long endedAt;

    private SimulatedRollout(Scenario scenario, long seed) {
        this.scenario = scenario;
        random = new Random(seed);
    }

    /** Plays a rollout to its deadline. */
    static Result play(Scenario scenario, long seed) {
        return new SimulatedRollout(scenario, seed).play();
    }

    private Result play() {
        for (int number = 0; number < scenario.requestsPerSecond * BEFORE_MILLIS / 1_000; number++) {
            int route = random.nextDouble() < ROUTE_SHARES[0] ? 0 : 1;
            OutcomeCounts one = counts(random.nextDouble() < USUAL_FAILURES[route]);
            sums.merge(
                    "route-" + route,
                    new RouteOutcomes(OutcomeCounts.NONE, OutcomeCounts.NONE, one),
                    RouteOutcomes::plus);
        }
        for (long now = 0; now < scenario.periodMillis; now += STEP_MILLIS) {
            if (now == scenario.newLeaderAtMillis) {
                trial = new RolloutTrial();
            }
            send(now);
            while (!reports.isEmpty() && reports.peek().atMillis <= now) {
                Report report = reports.remove();
                sums.merge(report.route, report.outcomes, RouteOutcomes::plus);
            }
            if (stage == Stage.RUNNING || stage == Stage.MOVING) {
                evaluate(now);
            }
        }
        boolean exposedTooMuch = exposed > MAX_EXPOSED_SHARE * requests + EXPOSURE_SLACK || late;
        return new Result(stage == Stage.COMPLETED, exposedTooMuch, exposed, bad, endedAt, finding);
    }

    private void evaluate(long now) {
        double elapsed = (double) now / scenario.periodMillis;
        Finding next = trial.evaluate(sums, new UpstreamTimes(), elapsed, now, stage == Stage.MOVING);
        if (next.isBad()) {
            finding = next;
            stage = Stage.ROLLED_BACK;
            endedAt = now;
        } else if (next == Finding.GOOD && stage == Stage.RUNNING) {
            finding = next;
            stage = Stage.MOVING;
        } else if (stage == Stage.MOVING && trial.isMoved(elapsed, now)) {
            stage = Stage.COMPLETED;
            endedAt = now;
        }
    }

    private void send(long now) {
        double mean = scenario.requestsPerSecond * STEP_MILLIS / 1_000.0;
        long count = (long) mean + (random.nextDouble() < mean - (long) mean ? 1 : 0);
        for (long number = 0; number < count; number++) {
            boolean toTarget =
                    switch (stage) {
                        case RUNNING -> !trial.isPaused() && random.nextDouble() < TRIAL_SHARE;
                        case MOVING, COMPLETED -> true;
                        case ROLLED_BACK -> false;
                    };
            int route = random.nextDouble() < ROUTE_SHARES[0] ? 0 : 1;
            boolean fails = random.nextDouble() < USUAL_FAILURES[route]
                    || scenario.isDisturbed(now)
                            && scenario.disturbs(toTarget)
                            && random.nextDouble() < scenario.disturbance;
            boolean isBad = toTarget && now >= scenario.badFromMillis && random.nextDouble() < scenario.badShare;
            requests++;
            if (toTarget) {
                exposed++;
                late |= now - ROLLBACK_MILLIS > provenAt;
                bad += isBad ? 1 : 0;
                provenAt = isBad && bad == PROVING_BAD_ANSWERS ? now : provenAt;
            }
            OutcomeCounts one = counts(fails || isBad);
            RouteOutcomes outcomes =
                    toTarget ? new RouteOutcomes(one, OutcomeCounts.NONE) : new RouteOutcomes(OutcomeCounts.NONE, one);
            reports.add(new Report(now + REPORT_MILLIS, "route-" + route, outcomes));
        }
    }

    private static OutcomeCounts counts(boolean failed) {
        return new OutcomeCounts(1, failed ? 1 : 0, 0);
    }

    private enum Stage {
        RUNNING,
        MOVING,
        COMPLETED,
        ROLLED_BACK
    }

    private record Report(long atMillis, String route, RouteOutcomes outcomes) {}

    /** What became of a version. */
    record Result(
            boolean completed, boolean exposedTooMuch, long exposed, long bad, long endedAtMillis, Finding finding) {}

    /**
     * Describes a rollout and what happens beside it.
     *
     * @param requestsPerSecond the requests to the pool.
     * @param periodMillis the time for the rollout.
     * @param badShare the share of its requests that the version fails.
     * @param badFromMillis when that begins, from the order.
     * @param disturbance the share of the requests that fail beside the rollout.
     * @param disturbedFromMillis when that begins.
     * @param disturbedUntilMillis when that ends.
     * @param target whether it meets the version under trial as well.
     * @param newLeaderAtMillis when a new leader takes over the evaluation, or a negative number.
     */
    record Scenario(
            int requestsPerSecond,
            long periodMillis,
            double badShare,
            long badFromMillis,
            double disturbance,
            long disturbedFromMillis,
            long disturbedUntilMillis,
            boolean target,
            long newLeaderAtMillis) {
        static Scenario of(int requestsPerSecond, long periodMillis, double badShare) {
            return new Scenario(requestsPerSecond, periodMillis, badShare, 0, 0, 0, 0, false, -1);
        }

        Scenario badFrom(long millis) {
            return new Scenario(
                    requestsPerSecond,
                    periodMillis,
                    badShare,
                    millis,
                    disturbance,
                    disturbedFromMillis,
                    disturbedUntilMillis,
                    target,
                    newLeaderAtMillis);
        }

        /** Lets a share of all requests fail for a time, those to the target version too or not. */
        Scenario disturbed(double share, long fromMillis, long untilMillis, boolean targetToo) {
            return new Scenario(
                    requestsPerSecond,
                    periodMillis,
                    badShare,
                    badFromMillis,
                    share,
                    fromMillis,
                    untilMillis,
                    targetToo,
                    newLeaderAtMillis);
        }

        Scenario newLeaderAt(long millis) {
            return new Scenario(
                    requestsPerSecond,
                    periodMillis,
                    badShare,
                    badFromMillis,
                    disturbance,
                    disturbedFromMillis,
                    disturbedUntilMillis,
                    target,
                    millis);
        }

        boolean isDisturbed(long now) {
            return now >= disturbedFromMillis && now < disturbedUntilMillis;
        }

        boolean disturbs(boolean toTarget) {
            return target || !toTarget;
        }
    }
}
