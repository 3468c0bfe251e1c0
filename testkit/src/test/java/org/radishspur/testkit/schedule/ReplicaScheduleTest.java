package org.radishspur.testkit.schedule;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks over random schedules of faults what the control state promises.
 */
class ReplicaScheduleTest {
    private static final long FAULTY_MILLIS = 12_000;

    /** Guards against a failure in which an edit that was accepted is gone, or a haul report runs twice. */
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

    /** Guards against a failure in which a control host that was suspended answers with a table that was replaced meanwhile. */
    @Property(seed = "20261205", tries = 40, shrinking = ShrinkingMode.OFF)
    void replicasWithoutLeasesStaySafeAndRecoverWhenClocksStop(@ForAll long schedule) {
        ReplicaSchedule.Outcome outcome = new ReplicaSchedule(schedule, 3, FaultRates.HARSH, 0).run(FAULTY_MILLIS);
        assertThat(outcome.commits()).isPositive();
    }
}
