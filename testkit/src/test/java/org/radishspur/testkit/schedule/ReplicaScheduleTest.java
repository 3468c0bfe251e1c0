package org.radishspur.testkit.schedule;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the safety of the control state, and its recovery after faults, over random schedules of faults.
 */
class ReplicaScheduleTest {
    private static final long FAULTY_MILLIS = 12_000;

    /** Guards against an accepted edit that is lost, and a request that is claimed and run twice. */
    @Property(seed = "20261203", tries = 60, shrinking = ShrinkingMode.OFF)
    void threeReplicasStaySafeAndRecover(@ForAll long schedule) {
        ReplicaSchedule.Outcome outcome = new ReplicaSchedule(schedule, 3, FaultRates.HARSH).run(FAULTY_MILLIS);
        assertThat(outcome.commits()).isPositive();
    }

    @Property(seed = "20261204", tries = 40, shrinking = ShrinkingMode.OFF)
    void fiveReplicasStaySafeAndRecover(@ForAll long schedule) {
        ReplicaSchedule.Outcome outcome = new ReplicaSchedule(schedule, 5, FaultRates.HARSH).run(FAULTY_MILLIS);
        assertThat(outcome.commits()).isPositive();
    }

    /** Guards against a suspended leader that, once resumed, serves a table that was replaced in the meantime. */
    @Property(seed = "20261205", tries = 40, shrinking = ShrinkingMode.OFF)
    void replicasWithoutLeasesStaySafeAndRecoverWhenClocksStop(@ForAll long schedule) {
        ReplicaSchedule.Outcome outcome = new ReplicaSchedule(schedule, 3, FaultRates.HARSH, 0).run(FAULTY_MILLIS);
        assertThat(outcome.commits()).isPositive();
    }
}
