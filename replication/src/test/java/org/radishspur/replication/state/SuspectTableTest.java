package org.radishspur.replication.state;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectTableTest {
    private final SuspectTable table = new SuspectTable(1_000);

    private void report(String fingerprint, String crash, long at) {
        table.report(new ControlCommand.ReportCrash("pool", fingerprint, crash, at));
    }

    @Test
    void severalReportsOfOneCrashCountOnce() {
        report("x", "crash-1", 0);
        report("x", "crash-1", 1);
        assertThat(table.crashCounts("pool")).containsEntry("x", 1);
    }

    @Test
    void twoCrashesCountTwice() {
        report("x", "crash-1", 0);
        report("x", "crash-2", 1);
        assertThat(table.crashCounts("pool")).containsEntry("x", SuspectTable.CRASHES_TO_REFUSE);
    }

    @Test
    void aSuspectThatFinishesIsCleared() {
        report("x", "crash-1", 0);
        table.clear(new ControlCommand.ClearSuspect("pool", "x", 1));
        assertThat(table.crashCounts("pool")).isEmpty();
    }

    @Test
    void aSuspectIsRemovedAfterTheRetentionTime() {
        report("x", "crash-1", 0);
        report("y", "crash-2", 1_000);
        assertThat(table.crashCounts("pool")).containsOnlyKeys("y");
    }
}
