package org.radishspur.decision.slot;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays short plain calls in virtual time.
 *
 * <p>The pattern: six schedulers of three failure domains share five upstreams with six slots each, and a call holds its slot
 * hardly longer than a report between schedulers takes.
 */
class PlainCallsAtManySchedulersTest {
    /** What one upstream can serve, in calls a second. */
    private static final double CAPACITY = 6 / 0.061;

    /** The share of requests that must be on time where there is room for all of them. */
    private static final double ON_TIME = 0.95;

    private final SchedulerWorld world = new SchedulerWorld(30_001, Workload.PLAIN_CALLS);

    /** Guards against callers who are refused while slots are free that other schedulers haven't reported yet. */
    @Test
    void servesNearlyAllOnTimeUpToNineTenthsOfTheCapacity() {
        world.play(5 * CAPACITY * 0.9, 10_000);
        assertThat(world.onTime(0)).isGreaterThan(ON_TIME);
        assertThat(world.onTime(1)).isGreaterThan(ON_TIME);
    }

    @Nested
    class WithTheUpstreamsOfOneFailureDomainEvacuated {
        /** Guards against entries that get the leavings of others, as all their upstreams stand in other failure domains. */
        @Test
        void servesEachFailureDomainAlikeUpToNineTenthsOfTheCapacity() {
            world.play(CAPACITY, 1_000);
            world.evacuate(1);
            world.play(3 * CAPACITY * 0.9, 10_000);
            for (int domain = 0; domain < Workload.PLAIN_CALLS.domains(); domain++) {
                assertThat(world.onTimeInDomain(domain)).isGreaterThan(ON_TIME);
            }
        }
    }
}
