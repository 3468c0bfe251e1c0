package org.radishspur.replication.disk;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

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
 * Writes random batches as a replica does, with processes that end and disks that are full at random operations, and
 * checks after each start that the disk holds each batch that was acknowledged, and no other than the one that was
 * being written.
 */
final class DiskTrial {
    private static final Identity IDENTITY = Identity.ofFounder("cluster", "a", Set.of("a", "b", "c"));
    private static final Configuration CONFIGURATION = Configuration.ofVoters(Set.of("a#founder"));
    private static final int SMALLEST_ENTRY_BYTES = 100;

    private final Random random;
    private final Conditions conditions;
    private final SimulatedStorage storage;
    private FileDisk disk;
    private LogModel model;

    /** What the disk holds if the batch that was being written when the process ended is durable. */
    private Optional<LogModel> attempted = Optional.empty();

    private Optional<Snapshot> prepared = Optional.empty();

    DiskTrial(long seed, Conditions conditions) {
        this.random = new Random(seed);
        this.conditions = conditions;
        this.storage = new SimulatedStorage(random);
        start();
    }

    /** Writes a number of batches, with interruptions. */
    void run(int batches) {
        scheduleFaults();
        for (int written = 0; written < batches; written++) {
            try {
                if (prepared.isEmpty() && model.lastIndex() > model.snapshot().lastIndex() && random.nextInt(6) == 0) {
                    prepareSnapshot();
                }
                write(nextBatch());
            } catch (ProcessStopped stopped) {
                restart();
            }
        }
        storage.losePower();
        start();
    }

    private void scheduleFaults() {
        storage.stopAfter(random.nextInt(conditions.operationsBetweenStops()));
        if (random.nextInt(3) == 0) {
            storage.fillAfter(random.nextInt(conditions.operationsBetweenStops()), 1 + random.nextInt(8));
        }
    }

    private void restart() {
        boolean started = false;
        while (!started) {
            if (random.nextBoolean()) {
                storage.losePower();
                rewriteJournals();
            } else {
                storage.kill();
            }
            if (random.nextBoolean()) {
                storage.stopAfter(random.nextInt(8));
            }
            try {
                start();
                started = true;
            } catch (ProcessStopped stopped) {
                // The power is lost again while the replica starts.
            }
        }
        scheduleFaults();
    }

    private void rewriteJournals() {
        if (!conditions.earlierRecords()) {
            return;
        }
        try {
            for (String name : storage.list("journal-")) {
                storage.replace(name, EarlierRecord.rewrite(storage.read(name), name));
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private void start() {
        FileDisk opened = new FileDisk(storage, IDENTITY, conditions.journalBytes());
        LogModel recovered = LogModel.of(opened.recover());
        if (model != null && !recovered.matches(model)) {
            assertThat(attempted).as("expected %s, was %s", model, recovered).isPresent();
            assertThat(recovered.matches(attempted.get()))
                    .as("expected %s or %s, was %s", model, attempted.get(), recovered)
                    .isTrue();
        }
        disk = opened;
        model = recovered;
        attempted = Optional.empty();
        prepared = Optional.empty();
    }

    private void prepareSnapshot() {
        long offset = 1 + random.nextInt(model.entries().size());
        LogEntry last = model.entries().get((int) offset - 1);
        Snapshot snapshot = snapshot(last.index(), last.term());
        if (random.nextInt(4) > 0) {
            try {
                disk.prepareSnapshot(snapshot);
            } catch (RadishspurException exception) {
                assertThat(exception.code()).isEqualTo(ErrorCode.DISK_FULL);
            }
        }
        prepared = Optional.of(snapshot);
    }

    private void write(WriteBatch batch) {
        attempted = Optional.of(model.after(batch));
        boolean written = false;
        while (!written) {
            try {
                disk.write(batch);
                written = true;
            } catch (RadishspurException exception) {
                assertThat(exception.code()).isEqualTo(ErrorCode.DISK_FULL);
            }
        }
        model = attempted.get();
        attempted = Optional.empty();
    }

    private WriteBatch nextBatch() {
        int kind = random.nextInt(20);
        if (kind == 0) {
            HardState next = new HardState(model.hardState().term() + 1, "voter" + random.nextInt(3));
            return new WriteBatch(Optional.of(next), List.of(), Optional.empty());
        } else if (kind == 1) {
            return replacingBatch();
        } else if (kind == 2) {
            return receivedSnapshot();
        } else if (kind < 7 && prepared.isPresent()) {
            Optional<Snapshot> taken = prepared;
            prepared = Optional.empty();
            List<LogEntry> following =
                    random.nextBoolean() ? List.of() : entries(model.lastIndex() + 1, term(model.hardState()));
            return new WriteBatch(Optional.empty(), following, taken);
        }
        return new WriteBatch(
                Optional.empty(), entries(model.lastIndex() + 1, term(model.hardState())), Optional.empty());
    }

    /** Replaces uncommitted entries, as those of a new leader do. */
    private WriteBatch replacingBatch() {
        HardState next = new HardState(model.hardState().term() + 1, "");
        long committed =
                prepared.map(Snapshot::lastIndex).orElse(model.snapshot().lastIndex());
        long from = committed + 1 + random.nextInt((int) (model.lastIndex() - committed) + 1);
        return new WriteBatch(Optional.of(next), entries(from, next.term()), Optional.empty());
    }

    /** Puts the snapshot of a leader into effect, which is ahead of the log, follows from it or replaces its end. */
    private WriteBatch receivedSnapshot() {
        long committed =
                prepared.map(Snapshot::lastIndex).orElse(model.snapshot().lastIndex());
        prepared = Optional.empty();
        HardState next = new HardState(model.hardState().term() + 1, "");
        long index = committed + 1 + random.nextInt((int) (model.lastIndex() - committed) + 5);
        boolean follows = index <= model.lastIndex() && random.nextBoolean();
        Snapshot snapshot = snapshot(index, follows ? model.termAt(index) : next.term());
        long first = follows ? index + 1 + random.nextInt((int) (model.lastIndex() - index) + 1) : index + 1;
        List<LogEntry> following = random.nextBoolean() ? List.of() : entries(first, next.term());
        return new WriteBatch(Optional.of(next), following, Optional.of(snapshot));
    }

    private List<LogEntry> entries(long from, long term) {
        List<LogEntry> entries = new ArrayList<>();
        int count = 1 + random.nextInt(4);
        for (int offset = 0; offset < count; offset++) {
            entries.add(new LogEntry(from + offset, term, new LogEntry.Payload.Command(randomBytes())));
        }
        return entries;
    }

    private Snapshot snapshot(long index, long term) {
        return new Snapshot(index, term, CONFIGURATION, randomBytes());
    }

    /** Returns bytes whose number is as often within any factor of two as within another. */
    private byte[] randomBytes() {
        double scale = (double) conditions.largestEntryBytes() / SMALLEST_ENTRY_BYTES;
        byte[] bytes = new byte[(int) (SMALLEST_ENTRY_BYTES * Math.pow(scale, random.nextDouble()))];
        random.nextBytes(bytes);
        return bytes;
    }

    private static long term(HardState hardState) {
        return Math.max(1, hardState.term());
    }

    /**
     * States how large files and entries are, how often processes end, and which version wrote the journals.
     *
     * @param journalBytes the size at which a journal is closed.
     * @param largestEntryBytes the size of the largest entry.
     * @param operationsBetweenStops the operations of a process after which it has ended at the latest.
     * @param earlierRecords whether the journals become those of an earlier version at a power loss.
     */
    record Conditions(int journalBytes, int largestEntryBytes, int operationsBetweenStops, boolean earlierRecords) {}
}
