package org.radishspur.testkit.schedule;

import java.util.ArrayList;
import java.util.List;

import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

/**
 * Keeps written batches in memory, by the same rules as the files of a real disk.
 */
final class MemoryDisk {
    private HardState hardState = HardState.INITIAL;
    private Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();

    MemoryDisk(Configuration initial) {
        snapshot = Snapshot.initial(initial);
    }

    void write(WriteBatch batch) {
        hardState = batch.hardState().orElse(hardState);
        batch.snapshot().ifPresent(this::replaceSnapshot);
        for (LogEntry entry : batch.entries()) {
            entries.removeIf(kept -> kept.index() >= entry.index());
            entries.add(entry);
        }
        entries.removeIf(entry -> entry.index() <= snapshot.lastIndex());
    }

    RecoveredState recover() {
        return new RecoveredState(hardState, snapshot, List.copyOf(entries));
    }

    private void replaceSnapshot(Snapshot replacement) {
        boolean holdsLastEntry = entries.stream()
                .anyMatch(entry -> entry.index() == replacement.lastIndex() && entry.term() == replacement.lastTerm());
        if (!holdsLastEntry) {
            entries.clear();
        }
        snapshot = replacement;
    }
}
