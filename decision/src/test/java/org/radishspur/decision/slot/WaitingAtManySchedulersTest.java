package org.radishspur.decision.slot;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates uneven failure domains in virtual time: six schedulers with a queue each share ninety-eight engines of four
 * slots, the demand of three failure domains rises and falls nearly in step, and two bursts exceed what the engines can do.
 */
class WaitingAtManySchedulersTest {
    private static final double USUAL_REQUESTS_PER_SECOND = 380;

    private static SchedulerSimulation simulate(boolean waitingReported) {
        SchedulerSimulation simulation = new SchedulerSimulation(40_001, Workload.UNEVEN_DOMAINS);
        if (!waitingReported) {
            simulation.hideWaiting();
        }
        simulation.run(USUAL_REQUESTS_PER_SECOND, 4_000);
        simulation.resetResults();
        simulation.run(USUAL_REQUESTS_PER_SECOND, 4_000);
        simulation.run(USUAL_REQUESTS_PER_SECOND * 1.5, 2_000);
        simulation.run(USUAL_REQUESTS_PER_SECOND, 3_000);
        simulation.run(USUAL_REQUESTS_PER_SECOND * 2, 1_500);
        simulation.run(USUAL_REQUESTS_PER_SECOND, 2_500);
        // The last streams end.
        simulation.run(0, 6_000);
        return simulation;
    }

    /** Guards against grants to less urgent requests while more urgent ones wait at another scheduler. */
    @Test
    void servesMoreOnTimeAndFewerOutOfOrder() {
        SchedulerSimulation with = simulate(true);
        SchedulerSimulation without = simulate(false);
        assertThat(with.outOfOrderGrants()).isLessThan(without.outOfOrderGrants());
        assertThat(with.onTimeShare()).isGreaterThan(without.onTimeShare());
    }
}
