package org.radishspur.decision.slot;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates short plain calls in virtual time.
 *
 * <p>Six schedulers in three failure domains share five upstreams with six slots each. A call holds its slot for little
 * longer than the interval between the schedulers' load reports, so reports are often stale.
 */
class PlainCallsAtManySchedulersTest {
    /** The capacity of one upstream, in calls per second: six slots, 61 ms per call. */
    private static final double UPSTREAM_CALLS_PER_SECOND = 6 / 0.061;

    /** The least share of requests on time if the capacity is sufficient for all of them. */
    private static final double MIN_ON_TIME_SHARE = 0.95;

    private final SchedulerSimulation simulation = new SchedulerSimulation(30_001, Workload.PLAIN_CALLS);

    /** Guards against rejections while slots are free that other schedulers have released but not yet reported. */
    @Test
    void servesNearlyAllRequestsOnTimeAtNineTenthsOfTheCapacity() {
        simulation.run(5 * UPSTREAM_CALLS_PER_SECOND * 0.9, 10_000);
        assertThat(simulation.onTimeShare(0)).isGreaterThan(MIN_ON_TIME_SHARE);
        assertThat(simulation.onTimeShare(1)).isGreaterThan(MIN_ON_TIME_SHARE);
    }

    @Nested
    class WithTheUpstreamsOfOneFailureDomainEvacuated {
        /**
         * Guards against entries without upstreams in their failure domain that get only the slots which others leave
         * free.
         */
        @Test
        void servesEveryFailureDomainOnTimeAtNineTenthsOfTheRemainingCapacity() {
            simulation.run(UPSTREAM_CALLS_PER_SECOND, 1_000);
            simulation.evacuate(1);
            simulation.run(3 * UPSTREAM_CALLS_PER_SECOND * 0.9, 10_000);
            for (int domain = 0; domain < Workload.PLAIN_CALLS.domains(); domain++) {
                assertThat(simulation.onTimeShareInDomain(domain)).isGreaterThan(MIN_ON_TIME_SHARE);
            }
        }
    }
}
