package org.radishspur.replication.disk;

import java.util.List;
import java.util.TreeMap;

import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.WriteBatch;

/**
 * Describes the log on disk without its entries: its last index and the terms behind the latest snapshot.
 */
final class LogExtent {
    private static final long NO_TERM = -1;

    private final TreeMap<Long, Long> termsByFirstIndex = new TreeMap<>();
    private long lastIndex;
    private long lastTerm = NO_TERM;

    /**
     * Describes a log that was read from the disk.
     *
     * @param recovered the state of the disk.
     */
    LogExtent(RecoveredState recovered) {
        startAfter(recovered.snapshot().lastIndex(), recovered.snapshot().lastTerm());
        append(recovered.entries());
    }

    /** Returns the last index of the log once a batch is written. */
    long lastIndexAfter(WriteBatch batch) {
        if (!batch.entries().isEmpty()) {
            return batch.entries().get(batch.entries().size() - 1).index();
        }
        return batch.snapshot()
                .map(snapshot -> contains(snapshot.lastIndex(), snapshot.lastTerm()) ? lastIndex : snapshot.lastIndex())
                .orElse(lastIndex);
    }

    /** Returns the last index of the log, or 0 if it is empty. */
    long lastIndex() {
        return lastIndex;
    }

    /** Applies a batch that was written. */
    void apply(WriteBatch batch) {
        batch.snapshot().ifPresent(snapshot -> startAfter(snapshot.lastIndex(), snapshot.lastTerm()));
        append(batch.entries());
    }

    /** Lets a snapshot precede the log; the entries behind it stay only if the log contains its last entry. */
    private void startAfter(long index, long term) {
        if (contains(index, term)) {
            termsByFirstIndex.headMap(index).clear();
        } else {
            termsByFirstIndex.clear();
            lastIndex = index;
        }
        termsByFirstIndex.put(index, term);
        lastTerm = termsByFirstIndex.lastEntry().getValue();
    }

    private boolean contains(long index, long term) {
        var run = termsByFirstIndex.floorEntry(index);
        return index <= lastIndex && run != null && run.getValue() == term;
    }

    private void append(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.index() <= lastIndex) {
                termsByFirstIndex.tailMap(entry.index()).clear();
                lastTerm = termsByFirstIndex.isEmpty()
                        ? NO_TERM
                        : termsByFirstIndex.lastEntry().getValue();
            }
            if (entry.term() != lastTerm) {
                lastTerm = entry.term();
                termsByFirstIndex.put(entry.index(), lastTerm);
            }
            lastIndex = entry.index();
        }
    }
}
