package org.radishspur.decision.slot;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates uneven failure domains in virtual time: six schedulers with a queue each share ninety-eight engines of four
 * slots, the demand of three failure domains rises and falls nearly in step, and two bursts exceed what the engines can do.
 */
class UnevenDomainsTest {
    private static final double USUAL_REQUESTS_PER_SECOND = 380;

    /** Guards against less urgent requests that get slots before more urgent ones of another failure domain. */
    @Test
    void servesTheMostUrgentFirstWhereverTheyArrive() {
        SchedulerSimulation simulation = new SchedulerSimulation(40_001, Workload.UNEVEN_DOMAINS);
        simulation.run(USUAL_REQUESTS_PER_SECOND, 4_000);
        simulation.resetResults();
        simulation.run(USUAL_REQUESTS_PER_SECOND, 4_000);
        simulation.run(USUAL_REQUESTS_PER_SECOND * 1.5, 2_000);
        simulation.run(USUAL_REQUESTS_PER_SECOND, 3_000);
        simulation.run(USUAL_REQUESTS_PER_SECOND * 2, 1_500);
        simulation.run(USUAL_REQUESTS_PER_SECOND, 2_500);
        // The last streams end.
        simulation.run(0, 6_000);
        assertThat(simulation.onTimeShare(0)).isGreaterThan(0.95);
        assertThat(simulation.onTimeShare(0)).isGreaterThan(simulation.onTimeShare(1));
        assertThat(simulation.onTimeShare(1)).isGreaterThan(simulation.onTimeShare(2));
        for (int domain = 0; domain < Workload.UNEVEN_DOMAINS.domains(); domain++) {
            assertThat(simulation.onTimeShareInDomain(domain)).isGreaterThan(simulation.onTimeShare() - 0.05);
        }
    }
}
