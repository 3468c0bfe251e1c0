package org.radishspur.replication.disk;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

/**
 * States what a disk holds after a series of batches, by the rules of the running replica.
 *
 * @param hardState the election state.
 * @param snapshot the latest snapshot.
 * @param entries the entries behind the snapshot.
 */
record LogModel(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {

    static LogModel of(RecoveredState recovered) {
        return new LogModel(recovered.hardState(), recovered.snapshot(), recovered.entries());
    }

    LogModel after(WriteBatch batch) {
        List<LogEntry> written = new ArrayList<>(entries);
        Snapshot base = batch.snapshot().orElse(snapshot);
        if (base != snapshot) {
            if (termAt(base.lastIndex()) != base.lastTerm()) {
                written.clear();
            }
            written.removeIf(entry -> entry.index() <= base.lastIndex());
        }
        for (LogEntry entry : batch.entries()) {
            written.removeIf(earlier -> earlier.index() >= entry.index());
            written.add(entry);
        }
        return new LogModel(batch.hardState().orElse(hardState), base, List.copyOf(written));
    }

    long lastIndex() {
        return snapshot.lastIndex() + entries.size();
    }

    /** Returns the term of an entry, or -1 where the log doesn't contain it. */
    long termAt(long index) {
        if (index == snapshot.lastIndex()) {
            return snapshot.lastTerm();
        }
        long offset = index - snapshot.lastIndex() - 1;
        return offset < 0 || offset >= entries.size()
                ? -1
                : entries.get((int) offset).term();
    }

    boolean matches(LogModel other) {
        if (!hardState.equals(other.hardState)
                || !isSame(snapshot, other.snapshot)
                || entries.size() != other.entries.size()) {
            return false;
        }
        for (int offset = 0; offset < entries.size(); offset++) {
            if (!isSame(entries.get(offset), other.entries.get(offset))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isSame(Snapshot one, Snapshot other) {
        return one.lastIndex() == other.lastIndex()
                && one.lastTerm() == other.lastTerm()
                && one.configuration().equals(other.configuration())
                && Arrays.equals(one.state(), other.state());
    }

    private static boolean isSame(LogEntry one, LogEntry other) {
        return one.index() == other.index()
                && one.term() == other.term()
                && Arrays.equals(bytesOf(one), bytesOf(other));
    }

    private static byte[] bytesOf(LogEntry entry) {
        return ((LogEntry.Payload.Command) entry.payload()).bytes();
    }

    @Override
    public String toString() {
        return hardState + ", snapshot " + snapshot.lastIndex() + "/" + snapshot.lastTerm() + ", entries "
                + entries.stream()
                        .map(entry -> entry.index() + "/" + entry.term())
                        .toList();
    }
}
