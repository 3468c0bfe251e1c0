package org.radishspur.decision.rollout;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.rollout.SimulatedRollout.Result;
import org.radishspur.decision.rollout.SimulatedRollout.Scenario;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays rollouts of good and bad versions beside disturbances, each many times with other draws.
 */
class RolloutTrialTest {
    private static final int DRAWS = 200;
    private static final int FEW_PER_SECOND = 25;
    private static final int SOME_PER_SECOND = 250;
    private static final int MANY_PER_SECOND = 1_000;
    private static final long PERIOD_MILLIS = 12_000;
    private static final long LONG_PERIOD_MILLIS = 24_000;

    /** The number of good versions that may be rolled back, and of bad ones that may be completed. */
    private static final int MAX_WRONG = DRAWS / 20;

    private static int countCompleted(Scenario scenario) {
        int completed = 0;
        for (int draw = 0; draw < DRAWS; draw++) {
            completed += SimulatedRollout.play(scenario, draw).completed() ? 1 : 0;
        }
        return completed;
    }

    private static void assertCompleted(Scenario scenario) {
        assertThat(countCompleted(scenario)).as(scenario.toString()).isGreaterThanOrEqualTo(DRAWS - MAX_WRONG);
    }

    private static void assertNotCompleted(Scenario scenario) {
        assertThat(countCompleted(scenario)).as(scenario.toString()).isLessThanOrEqualTo(MAX_WRONG);
    }

    /** Guards against a version that is completed because there is nothing sound to compare it with. */
    @Nested
    class BadVersion {
        @Test
        void isNotCompletedWhileTheOthersFailMore() {
            for (int perSecond : new int[] {FEW_PER_SECOND, SOME_PER_SECOND, MANY_PER_SECOND}) {
                for (double share : new double[] {0.2, 0.3, 0.4}) {
                    Scenario scenario = Scenario.of(perSecond, PERIOD_MILLIS, share);
                    assertNotCompleted(scenario.disturbed(0.5, 500, PERIOD_MILLIS, false));
                }
            }
        }

        @Test
        void isNotCompletedAfterADisturbanceOfAll() {
            for (int perSecond : new int[] {FEW_PER_SECOND, SOME_PER_SECOND, MANY_PER_SECOND}) {
                for (double share : new double[] {0.3, 0.4}) {
                    Scenario scenario = Scenario.of(perSecond, PERIOD_MILLIS, share);
                    assertNotCompleted(scenario.disturbed(0.35, 0, PERIOD_MILLIS / 2, true));
                    assertNotCompleted(
                            scenario.disturbed(0.35, 2_000, 8_000, true).newLeaderAt(6_000));
                }
            }
        }

        @Test
        void isNotCompletedIfItTurnsBadBesideADisturbance() {
            Scenario scenario =
                    Scenario.of(MANY_PER_SECOND, PERIOD_MILLIS, 0.25).badFrom(8_000);
            assertNotCompleted(scenario.disturbed(0.3, 8_000, 10_000, false));
        }
    }

    /** Guards against a good version that is rolled back because of what met all versions. */
    @Nested
    class GoodVersion {
        @Test
        void isCompletedAlone() {
            assertCompleted(Scenario.of(SOME_PER_SECOND, PERIOD_MILLIS, 0));
            assertCompleted(Scenario.of(MANY_PER_SECOND, PERIOD_MILLIS, 0));
            assertCompleted(Scenario.of(FEW_PER_SECOND, LONG_PERIOD_MILLIS, 0));
        }

        @Test
        void isCompletedWhileTheOthersFail() {
            assertCompleted(Scenario.of(SOME_PER_SECOND, PERIOD_MILLIS, 0).disturbed(0.5, 500, PERIOD_MILLIS, false));
            assertCompleted(
                    Scenario.of(FEW_PER_SECOND, LONG_PERIOD_MILLIS, 0).disturbed(0.5, 500, LONG_PERIOD_MILLIS, false));
        }

        @Test
        void isCompletedAfterADisturbanceOfAll() {
            Scenario scenario = Scenario.of(SOME_PER_SECOND, PERIOD_MILLIS, 0);
            assertCompleted(scenario.disturbed(0.35, 0, 4_000, true));
            assertCompleted(scenario.disturbed(0.35, 0, PERIOD_MILLIS / 2, true));
            assertCompleted(scenario.disturbed(0.35, 4_000, 8_000, true).newLeaderAt(6_000));
        }
    }

    /** Guards against callers who get bad answers of a version for as long as nothing can be compared. */
    @Nested
    class PausedTrial {
        @Test
        void keepsABadVersionWithinItsAllowance() {
            for (double share : new double[] {0.2, 0.3, 0.4}) {
                Scenario scenario = Scenario.of(MANY_PER_SECOND, LONG_PERIOD_MILLIS, share)
                        .disturbed(0.7, 200, LONG_PERIOD_MILLIS, true);
                for (int draw = 0; draw < DRAWS; draw++) {
                    Result result = SimulatedRollout.play(scenario, draw);
                    assertThat(result.exposedTooMuch())
                            .as(scenario + ": " + result)
                            .isFalse();
                }
            }
        }
    }

    /** Guards against callers who wait for a slow version whose only upstream can't prove more than it has. */
    @Nested
    class SuspectedVersion {
        private boolean isPausedAfter(int answers) {
            UpstreamTimes times = new UpstreamTimes();
            for (int number = 0; number < answers; number++) {
                times.add(number % 3, false, UpstreamTimes.Measure.FIRST_BYTE, 60);
                times.add(3, true, UpstreamTimes.Measure.FIRST_BYTE, 240);
            }
            OutcomeCounts counts = new OutcomeCounts(answers, 0, 0);
            RolloutTrial trial = new RolloutTrial();
            for (long now = 0; now <= 2_000; now += 500) {
                trial.evaluate(Map.of("route", new RouteOutcomes(counts, counts, counts)), times, 0.2, now, false);
            }
            return trial.isPaused();
        }

        @Test
        void getsNoMoreRequestsOnceItHasHadEnough() {
            assertThat(isPausedAfter(12)).isFalse();
            assertThat(isPausedAfter(36)).isTrue();
        }
    }

    /** Guards against old upstreams that stop before the new ones have shown what they do with all requests. */
    @Nested
    class Move {
        private final RolloutTrial trial = new RolloutTrial();
        private final Map<String, RouteOutcomes> outcomes = new HashMap<>();

        private void addAnswers(long count) {
            OutcomeCounts counts = new OutcomeCounts(count, 0, 0);
            outcomes.merge("route", new RouteOutcomes(counts, counts, counts), RouteOutcomes::plus);
        }

        private void evaluate(double elapsed, long now, boolean moving) {
            trial.evaluate(outcomes, new UpstreamTimes(), elapsed, now, moving);
        }

        @Test
        void lastsUntilEnoughRequestsWereAnswered() {
            addAnswers(40);
            evaluate(0.8, 8_000, true);
            assertThat(trial.isMoved(0.8, 8_000)).isFalse();
            addAnswers(12);
            evaluate(0.88, 8_800, true);
            assertThat(trial.isMoved(0.88, 8_800)).isFalse();
            addAnswers(12);
            evaluate(0.9, 9_000, true);
            assertThat(trial.isMoved(0.9, 9_000)).isTrue();
        }

        @Test
        void endsBeforeTheDeadlineWithFewRequests() {
            addAnswers(40);
            evaluate(0.8, 8_000, true);
            evaluate(0.96, 9_600, true);
            assertThat(trial.isMoved(0.96, 9_600)).isTrue();
        }
    }
}
