package org.radishspur.decision.slot;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates callers that compete for too little room in virtual time: six schedulers in three failure domains share
 * ninety-eight engines of four slots, of which one in three is 4.4 times as slow. For 5 s the engines are asked for 1.5
 * times what they can do and for 2.5 s for twice as much; before, between and after for seven tenths of it.
 */
class CompetingStreamsTest {
    /** What the engines can do, by the steps that they need for the mean request of the workload. */
    private static final double CAPACITY_REQUESTS_PER_SECOND = 430;

    /** The deviation of a share of some hundred callers between two runs of the same load. */
    private static final double TOLERANCE = 0.03;

    private static final SchedulerSimulation BY_OWN_WORK = new SchedulerSimulation(40_003, Workload.LONG_PROMPTS);

    static {
        run(BY_OWN_WORK);
    }

    private static void run(SchedulerSimulation simulation) {
        double usual = CAPACITY_REQUESTS_PER_SECOND * 0.7;
        simulation.run(usual, 4_000);
        simulation.resetResults();
        simulation.run(usual, 1_000);
        simulation.run(CAPACITY_REQUESTS_PER_SECOND * 1.5, 5_000);
        simulation.run(usual, 6_000);
        simulation.run(CAPACITY_REQUESTS_PER_SECOND * 2, 2_500);
        simulation.run(usual, 5_000);
        // The last streams end, also those of retries.
        simulation.run(0, 13_000);
    }

    /** Guards against a burst that is spread over all tiers, so that urgent callers are refused for others. */
    @Test
    void servesUrgentTiersFirst() {
        assertThat(BY_OWN_WORK.onTimeShare(0)).isGreaterThan(0.95);
        assertThat(BY_OWN_WORK.onTimeShare(0)).isGreaterThanOrEqualTo(BY_OWN_WORK.onTimeShare(1));
        assertThat(BY_OWN_WORK.onTimeShare(1)).isGreaterThanOrEqualTo(BY_OWN_WORK.onTimeShare(2));
    }

    /** Guards against long answers that are starved by short ones of their kind. */
    @Test
    void servesTheLongestAnswersAtLeastHalfAsOftenAsTheirKind() {
        for (int tier = 0; tier < Workload.LONG_PROMPTS.tiers().size(); tier++) {
            double half = BY_OWN_WORK.onTimeShare(tier) / 2;
            assertThat(BY_OWN_WORK.onTimeShare(tier, 0.9, 1))
                    .as("largest tenth of tier " + tier)
                    .isGreaterThan(half);
            assertThat(BY_OWN_WORK.onTimeShare(tier, 0.7, 0.9))
                    .as("next fifth of tier " + tier)
                    .isGreaterThan(half);
        }
    }

    /**
     * Compares with schedulers that know no lengths, and entries that wait for half of the target only.
     */
    @Nested
    class ComparedWithEqualWorkAndShortWaits {
        private static final SchedulerSimulation BEFORE = new SchedulerSimulation(40_003, Workload.LONG_PROMPTS);

        static {
            BEFORE.hideLengths();
            BEFORE.halveWaits();
            CompetingStreamsTest.run(BEFORE);
        }

        /** Guards against waits and an order that don't help callers. */
        @Test
        void servesMoreCallersOnTime() {
            assertThat(BY_OWN_WORK.onTimeShare()).isGreaterThan(BEFORE.onTimeShare());
            assertThat(BY_OWN_WORK.goodShare()).isGreaterThan(BEFORE.goodShare());
        }

        /** Guards against a gain of some callers at the cost of others. */
        @Test
        void servesNoTierAndNoLengthWorse() {
            for (int tier = 0; tier < Workload.LONG_PROMPTS.tiers().size(); tier++) {
                assertThat(BY_OWN_WORK.onTimeShare(tier))
                        .as("tier " + tier)
                        .isGreaterThan(BEFORE.onTimeShare(tier) - TOLERANCE);
                assertThat(BY_OWN_WORK.onTimeShare(tier, 0.9, 1))
                        .as("largest tenth of tier " + tier)
                        .isGreaterThan(BEFORE.onTimeShare(tier, 0.9, 1) - TOLERANCE);
                assertThat(BY_OWN_WORK.onTimeShare(tier, 0.7, 0.9))
                        .as("next fifth of tier " + tier)
                        .isGreaterThan(BEFORE.onTimeShare(tier, 0.7, 0.9) - TOLERANCE);
            }
        }
    }
}
