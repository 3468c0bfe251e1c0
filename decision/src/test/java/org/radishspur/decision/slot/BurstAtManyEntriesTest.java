package org.radishspur.decision.slot;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates bursts in virtual time, with ninety-one entries and the engines of five failure domains.
 *
 * <p>Each entry receives a few requests a second, too few to estimate the speed of engines. Each failure domain has a
 * scheduler, and schedulers report their load to each other every 40 ms. One engine in three is 4.4 times as slow as
 * the others.
 */
class BurstAtManyEntriesTest {
    private static final double USUAL_REQUESTS_PER_SECOND = 350;

    /** The longest time for which the loss of one scheduler may stop grants, in milliseconds. */
    private static final long MAX_GRANT_GAP_MILLIS = 300;

    @Nested
    class WithAllSchedulers {
        /**
         * Guards against schedulers that grant the same free slot at the same time, so that requests queue inside an
         * engine.
         */
        @Test
        void queuesAtMostOneRequestPerSchedulerInsideAnEngine() {
            SchedulerSimulation simulation = new SchedulerSimulation(20_261, Workload.STREAMS);
            simulation.run(USUAL_REQUESTS_PER_SECOND * 2, 5_000);
            assertThat(simulation.longestEngineQueue()).isLessThanOrEqualTo(Workload.STREAMS.schedulers());
        }

        /** Guards against urgent requests that wait behind less urgent ones of other entries in a burst. */
        @Test
        void servesTheMostUrgentTierOnTime() {
            SchedulerSimulation simulation = new SchedulerSimulation(20_262, Workload.STREAMS);
            simulation.run(USUAL_REQUESTS_PER_SECOND * 2, 5_000);
            assertThat(simulation.onTimeShare(0)).isGreaterThan(0.95);
            assertThat(simulation.onTimeShare(0)).isGreaterThanOrEqualTo(simulation.onTimeShare(1));
            assertThat(simulation.onTimeShare(1)).isGreaterThanOrEqualTo(simulation.onTimeShare(2));
        }

        /** Guards against a Retry-After so short that callers retry during the burst in which they were rejected. */
        @Test
        void servesNineInTenRejectedRequestsOnRetry() {
            SchedulerSimulation simulation = new SchedulerSimulation(20_267, Workload.STREAMS);
            simulation.run(USUAL_REQUESTS_PER_SECOND, 1_500);
            simulation.run(USUAL_REQUESTS_PER_SECOND * 1.5, 5_000);
            simulation.run(USUAL_REQUESTS_PER_SECOND, 5_000);
            assertThat(simulation.rejectedRetryShare()).isLessThan(simulation.rejectedShare() / 10);
        }

        @Test
        void rejectsFewerThanOneInAHundredRequestsAtTheUsualRate() {
            SchedulerSimulation simulation = new SchedulerSimulation(20_263, Workload.STREAMS);
            simulation.run(USUAL_REQUESTS_PER_SECOND, 5_000);
            assertThat(simulation.rejectedShare()).isLessThan(0.01);
        }
    }

    @Nested
    class WithAStoppedScheduler {
        /** Guards against entries that wait for a stopped scheduler instead of using another one. */
        @Test
        void continuesGrantingToTheEntriesOfItsFailureDomain() {
            SchedulerSimulation simulation = new SchedulerSimulation(20_264, Workload.STREAMS);
            simulation.run(USUAL_REQUESTS_PER_SECOND, 2_000);
            simulation.stopScheduler(0);
            simulation.run(USUAL_REQUESTS_PER_SECOND, 2_000);
            assertThat(simulation.longestGrantGapMillis(0)).isLessThan(MAX_GRANT_GAP_MILLIS);
        }

        /**
         * Guards against slots of a stopped scheduler that stay uncounted, or counted twice, at the other schedulers.
         */
        @Test
        void servesTheMostUrgentTierOnTimeInABurst() {
            SchedulerSimulation simulation = new SchedulerSimulation(20_265, Workload.STREAMS);
            simulation.run(USUAL_REQUESTS_PER_SECOND, 2_000);
            simulation.stopScheduler(0);
            simulation.run(USUAL_REQUESTS_PER_SECOND * 1.7, 3_000);
            assertThat(simulation.onTimeShare(0)).isGreaterThan(0.95);
        }
    }
}
