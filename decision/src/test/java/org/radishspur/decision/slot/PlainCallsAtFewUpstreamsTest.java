package org.radishspur.decision.slot;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates short plain calls in virtual time at a service with few upstreams.
 *
 * <p>Six schedulers in three failure domains share three upstreams with six slots each, so that each has three slots on
 * average. Callers want their answers within five times the usual time of a call.
 */
class PlainCallsAtFewUpstreamsTest {
    /** The capacity of the upstreams, in calls per second: eighteen slots, 64 ms per call. */
    private static final double CAPACITY = 18 / 0.064;

    private static final double USUAL_CALLS_PER_SECOND = CAPACITY * 0.4;

    private static final long REPORT_MILLIS = 4;

    /** The least share of calls on time if the capacity is sufficient for all of them. */
    private static final double MIN_ON_TIME_SHARE = 0.95;

    private final SchedulerSimulation simulation = new SchedulerSimulation(40_001, Workload.FEW_UPSTREAMS);

    @BeforeEach
    void delayReports() {
        simulation.delayReports(REPORT_MILLIS);
    }

    private void assertAllOnTime() {
        assertThat(simulation.onTimeShare(0)).isGreaterThan(MIN_ON_TIME_SHARE);
        assertThat(simulation.onTimeShare(1)).isGreaterThan(MIN_ON_TIME_SHARE);
    }

    /** Guards against urgent calls that are late because less urgent ones fill the upstreams in a burst. */
    @Test
    void servesUrgentCallsOnTimeBeyondTheCapacity() {
        simulation.run(USUAL_CALLS_PER_SECOND, 3_000);
        simulation.resetResults();
        simulation.run(CAPACITY * 1.1, 5_000);
        assertThat(simulation.onTimeShare(0)).isGreaterThan(MIN_ON_TIME_SHARE);
        assertThat(simulation.onTimeShare(0)).isGreaterThan(simulation.onTimeShare(1));
    }

    @Nested
    class AfterARestartOfAllSchedulers {
        /** Guards against refusals by schedulers that have counted no release yet. */
        @Test
        void refusesNobodyAtTheUsualRate() {
            for (long seed = 40_000; seed < 40_010; seed++) {
                SchedulerSimulation restarted = new SchedulerSimulation(seed, Workload.FEW_UPSTREAMS);
                restarted.delayReports(REPORT_MILLIS);
                restarted.run(USUAL_CALLS_PER_SECOND, 1_000);
                assertThat(restarted.rejectedShare()).isZero();
            }
        }
    }

    @Nested
    class WithSlowEntries {
        /** Guards against slots that count as taken while a grant or the report of an end is still on its way. */
        @Test
        void servesNearlyAllCallsOnTimeAtSevenTenthsOfTheCapacity() {
            simulation.handOverSlowly(30);
            simulation.run(USUAL_CALLS_PER_SECOND, 3_000);
            simulation.resetResults();
            simulation.run(CAPACITY * 0.7, 10_000);
            assertAllOnTime();
        }
    }

    @Nested
    class WithLateReports {
        /** Guards against schedulers that send too much or too little by reports older than the calls they count. */
        @Test
        void servesNearlyAllCallsOnTimeAtSevenTenthsOfTheCapacity() {
            simulation.delayReports(100);
            simulation.run(CAPACITY * 0.7, 10_000);
            assertAllOnTime();
        }
    }

    @Nested
    class WithALostScheduler {
        /** Guards against a scheduler's share of the slots that nobody uses while it is lost. */
        @Test
        void servesNearlyAllCallsOnTimeAtTheUsualRate() {
            simulation.run(USUAL_CALLS_PER_SECOND, 3_000);
            simulation.stopScheduler(0);
            simulation.run(USUAL_CALLS_PER_SECOND, 5_000);
            assertAllOnTime();
        }
    }

    @Nested
    class WithALostUpstream {
        /** Guards against calls that wait for an upstream that is gone while the others could serve them. */
        @Test
        void servesNearlyAllCallsOnTimeAtTheUsualRate() {
            simulation.run(USUAL_CALLS_PER_SECOND, 3_000);
            simulation.failUpstream(1, SlotOutcome.UNREACHABLE, 1, 2_000);
            simulation.run(USUAL_CALLS_PER_SECOND, 5_000);
            assertAllOnTime();
        }
    }

    @Nested
    class WithAnUpstreamThatResetsConnections {
        /** Guards against an upstream that goes on failing calls, and against the loss of those that may be repeated. */
        @Test
        void failsFewCallsThatMayRunAtMostOnce() {
            simulation.run(USUAL_CALLS_PER_SECOND, 3_000);
            simulation.resetResults();
            simulation.failUpstream(1, SlotOutcome.BROKEN, 0.4, 5_000);
            simulation.run(USUAL_CALLS_PER_SECOND, 8_000);
            simulation.run(0, 1_000);
            assertThat(simulation.servedShare(0)).isGreaterThan(MIN_ON_TIME_SHARE);
            assertThat(simulation.servedShare(1)).isEqualTo(1);
        }
    }
}
