package org.radishspur.decision.slot;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates bursts of 600 ms, in which callers send four times what the engines can do, each after 9.4 s without a
 * request: all slots are taken at once, and no scheduler has counted a release lately.
 */
class BurstAfterIdleTimeTest {
    private static final double USUAL_REQUESTS_PER_SECOND = 300;
    /** Four times the 430 requests a second that the engines can do. */
    private static final double BURST_REQUESTS_PER_SECOND = 1_720;

    private static final int BURSTS = 3;

    /** Guards against refusals at the start of a burst, though slots come free within the wait. */
    @Test
    void callersWaitForTheFirstSlotsThatComeFree() {
        SchedulerSimulation simulation = new SchedulerSimulation(40_000, Workload.LONG_PROMPTS);
        simulation.run(USUAL_REQUESTS_PER_SECOND, 4_000);
        simulation.run(0, 9_400);
        simulation.resetResults();
        for (int burst = 0; burst < BURSTS; burst++) {
            simulation.run(BURST_REQUESTS_PER_SECOND, 600);
            simulation.run(0, 9_400);
        }
        assertThat(simulation.onTimeShare()).isGreaterThan(0.85);
        assertThat(simulation.rejectedShare()).isLessThan(0.1);
    }
}
