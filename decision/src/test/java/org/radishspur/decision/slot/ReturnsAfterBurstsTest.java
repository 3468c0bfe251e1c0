package org.radishspur.decision.slot;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates a burst of 1.75 times what ninety-eight engines of four slots can do, after which the callers that six
 * schedulers have refused return beside new requests at 0.7 of it.
 */
class ReturnsAfterBurstsTest {
    private static final double CAPACITY_PER_SECOND = 420;

    private static SchedulerSimulation simulate(boolean returnElsewhere) {
        SchedulerSimulation simulation = new SchedulerSimulation(20_268, Workload.LONG_PROMPTS);
        if (returnElsewhere) {
            simulation.returnElsewhere();
        }
        simulation.run(CAPACITY_PER_SECOND * 0.7, 3_000);
        simulation.resetResults();
        simulation.run(CAPACITY_PER_SECOND * 1.75, 2_000);
        simulation.run(CAPACITY_PER_SECOND * 0.7, 4_000);
        // The last streams end.
        simulation.run(0, 6_000);
        return simulation;
    }

    /** Guards against returns that take the slots of new urgent requests, or that are lost at another scheduler. */
    @Test
    void returnsAreServedAtAnySchedulerAndNotInPlaceOfNewRequests() {
        SchedulerSimulation same = simulate(false);
        SchedulerSimulation other = simulate(true);
        assertThat(other.onTimeShare(0)).isGreaterThan(0.98);
        assertThat(other.onTimeShare(1)).isGreaterThan(0.97);
        assertThat(other.servedShare()).isCloseTo(same.servedShare(), Offset.offset(0.02));
        assertThat(other.refusedAgainShare()).isLessThan(0.5);
    }
}
