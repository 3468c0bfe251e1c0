package org.radishspur.replication.disk;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.replication.disk.SimulatedStorage.ProcessStopped;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Interrupts a series of batches at each operation on the folder in turn.
 */
class InterruptedDiskTest {
    private static final Identity IDENTITY = Identity.ofFounder("cluster", "a", Set.of("a", "b", "c"));
    private static final int JOURNAL_BYTES = 400;
    private static final long TERM = 7;
    private static final int ENTRIES = 30;
    private static final int ENTRIES_PER_SNAPSHOT = 10;

    private LogModel written;

    /** Votes, then writes entries over several journals, of which snapshots cover the earlier ones. */
    private static List<WriteBatch> batches() {
        List<WriteBatch> batches = new ArrayList<>();
        batches.add(new WriteBatch(Optional.of(new HardState(TERM, "c")), List.of(), Optional.empty()));
        for (long index = 1; index <= ENTRIES; index++) {
            batches.add(entry(index));
            if (index % ENTRIES_PER_SNAPSHOT == 0) {
                Configuration configuration = Configuration.ofVoters(Set.of("a#founder"));
                Snapshot snapshot = new Snapshot(index - 1, TERM, configuration, new byte[] {(byte) index});
                batches.add(new WriteBatch(Optional.empty(), List.of(), Optional.of(snapshot)));
            }
        }
        return batches;
    }

    private static WriteBatch entry(long index) {
        LogEntry entry = new LogEntry(index, TERM, new LogEntry.Payload.Command(new byte[] {(byte) index, 1, 2, 3}));
        return new WriteBatch(Optional.empty(), List.of(entry), Optional.empty());
    }

    private static FileDisk open(Storage storage) {
        return new FileDisk(storage, IDENTITY, JOURNAL_BYTES);
    }

    private static LogModel recover(Storage storage) {
        try (FileDisk disk = open(storage)) {
            return LogModel.of(disk.recover());
        }
    }

    /** Writes all batches, unless the process ends before. */
    private void writeAll(SimulatedStorage storage) {
        writeAll(storage, () -> {});
    }

    private void writeAll(SimulatedStorage storage, Runnable afterRecovery) {
        try (FileDisk disk = open(storage)) {
            written = LogModel.of(disk.recover());
            afterRecovery.run();
            for (WriteBatch batch : batches()) {
                writeOnceThereIsSpace(disk, batch);
                written = written.after(batch);
            }
        }
    }

    private static void writeOnceThereIsSpace(FileDisk disk, WriteBatch batch) {
        boolean durable = false;
        while (!durable) {
            try {
                disk.write(batch);
                durable = true;
            } catch (RadishspurException exception) {
                assertThat(exception.code()).isEqualTo(ErrorCode.DISK_FULL);
            }
        }
    }

    private long countOperations() {
        SimulatedStorage storage = new SimulatedStorage(new Random(0));
        writeAll(storage);
        return storage.operationCount();
    }

    private SimulatedStorage storageOfAProcessKilledAfter(long operations) {
        SimulatedStorage storage = new SimulatedStorage(new Random(operations));
        storage.stopAfter(operations);
        try {
            writeAll(storage);
        } catch (ProcessStopped stopped) {
            storage.kill();
        }
        return storage;
    }

    @Nested
    class AfterAKill {
        /**
         * Guards against the loss of what a replica writes after its restart, as the name of its journal isn't durable.
         */
        @Test
        void whatIsWrittenNextSurvivesALossOfPower() {
            for (long operations = 0; operations < countOperations(); operations++) {
                SimulatedStorage storage = storageOfAProcessKilledAfter(operations);
                LogModel expected;
                try (FileDisk disk = open(storage)) {
                    LogModel recovered = LogModel.of(disk.recover());
                    WriteBatch next = entry(recovered.lastIndex() + 1);
                    disk.write(next);
                    expected = recovered.after(next);
                }
                storage.loseAllUnsynced();
                LogModel actual = recover(storage);
                assertThat(actual.matches(expected))
                        .as("after %d operations: expected %s, was %s", operations, expected, actual)
                        .isTrue();
            }
        }
    }

    @Nested
    class OnAFullDisk {
        private static final int MOST_FAILURES = 6;

        /**
         * Guards against a replica that votes twice in a term, as a journal that couldn't be opened at first has no
         * election state and earlier journals are deleted.
         */
        @Test
        void nothingIsLostWhereverSpaceRunsOut() {
            for (long operations = 0; operations < countOperations(); operations++) {
                for (int failures = 1; failures <= MOST_FAILURES; failures++) {
                    SimulatedStorage storage = new SimulatedStorage(new Random(operations));
                    long operationsUntilFull = operations;
                    int failedOperations = failures;
                    writeAll(storage, () -> storage.fillAfter(operationsUntilFull, failedOperations));
                    storage.loseAllUnsynced();
                    LogModel actual = recover(storage);
                    assertThat(actual.matches(written))
                            .as("%d failures after %d: expected %s, was %s", failures, operations, written, actual)
                            .isTrue();
                }
            }
        }
    }
}
