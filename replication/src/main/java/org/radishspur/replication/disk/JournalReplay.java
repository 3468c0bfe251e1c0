package org.radishspur.replication.disk;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Snapshot;

/**
 * Rebuilds the log by applying the journal records in the order in which they were written.
 *
 * <p>The journals before the first one may have been deleted, as the latest snapshot covers all their entries. What a
 * record does to the entries behind that snapshot must not depend on the entries that it covers. Then the journals that
 * are left yield the same log as all of them, whichever have been deleted.
 */
final class JournalReplay {
    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = HardState.INITIAL;
    private long snapshotIndex;

    /** The last index of the log according to the latest record, or 0 where it doesn't state one. */
    private long statedLastIndex;

    /** The last of the entries that an earlier version would have dropped, or 0 if there are none. */
    private long keptUpTo;

    HardState hardState() {
        return hardState;
    }

    /** Returns the last index that the latest snapshot covers, or 0 if there is no snapshot. */
    long snapshotIndex() {
        return snapshotIndex;
    }

    /** Applies a record and returns the highest index of its entries, or 0 if it has none. */
    long apply(JournalRecord record) {
        hardState = record.hardState().orElse(hardState);
        if (record.snapshotIndex() > 0) {
            applySnapshot(record);
        }
        long highest = 0;
        for (LogEntry entry : record.entries()) {
            removeFrom(entry.index());
            entries.add(entry);
            highest = Math.max(highest, entry.index());
        }
        if (record.lastIndex() > 0) {
            removeFrom(record.lastIndex() + 1);
        }
        statedLastIndex = record.lastIndex();
        return highest;
    }

    /**
     * Returns the state after the last record.
     *
     * @param snapshot the latest snapshot, or the initial one.
     * @return the state.
     * @throws RadishspurException if entries are missing.
     */
    RecoveredState finish(Snapshot snapshot) {
        removeUpTo(snapshot.lastIndex());
        long last = snapshot.lastIndex();
        for (LogEntry entry : entries) {
            if (entry.index() != last + 1) {
                throw new RadishspurException(ErrorCode.LOG_CORRUPT, "the log has a gap before index " + entry.index());
            }
            last++;
        }
        if (statedLastIndex > 0 && last != statedLastIndex) {
            throw new RadishspurException(
                    ErrorCode.LOG_CORRUPT, "the log ends at index " + last + " instead of " + statedLastIndex);
        }
        if (keptUpTo > snapshot.lastIndex()) {
            // Looked up only here, as loading the logging configuration takes a tenth of a second.
            System.getLogger(JournalReplay.class.getName())
                    .log(
                            Level.WARNING,
                            "[control] Entries " + (snapshot.lastIndex() + 1) + " to " + keptUpTo
                                    + " were kept; an earlier version took them for entries of another log, as the"
                                    + " entry before them is in a deleted journal.");
        }
        return new RecoveredState(hardState, snapshot, List.copyOf(entries));
    }

    private void applySnapshot(JournalRecord record) {
        snapshotIndex = record.snapshotIndex();
        boolean statesLastIndex = record.lastIndex() > 0;
        if (!statesLastIndex && !isFollowedByEntries(record.snapshotIndex(), record.snapshotTerm())) {
            entries.clear();
            keptUpTo = 0;
        }
        removeUpTo(record.snapshotIndex());
    }

    /**
     * Returns whether the entries behind a snapshot follow it, for a record of an earlier version, which doesn't state
     * that.
     *
     * <p>The running replica dropped them if its log had the snapshot's last index with another term. If that entry is
     * missing here, it is in a deleted journal: without the deletion, the log would contain it, or would have no entry
     * behind it. The terms along a log never decrease, so that entries of a lower term don't follow the snapshot.
     * Entries of the same or a higher term are kept. Should they be left over from another log after all, they aren't
     * committed, and their terms are lower than that of the leader that sent the snapshot: it replaces them, and they
     * win no vote against entries that it has committed.
     */
    private boolean isFollowedByEntries(long index, long term) {
        for (LogEntry entry : entries) {
            if (entry.index() == index) {
                return entry.term() == term;
            }
            if (entry.index() > index) {
                boolean follows = entry.term() >= term;
                if (follows) {
                    keptUpTo = entries.get(entries.size() - 1).index();
                }
                return follows;
            }
        }
        return false;
    }

    private void removeFrom(long index) {
        while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= index) {
            entries.remove(entries.size() - 1);
        }
        keptUpTo = Math.min(keptUpTo, index - 1);
    }

    private void removeUpTo(long index) {
        int count = 0;
        while (count < entries.size() && entries.get(count).index() <= index) {
            count++;
        }
        entries.subList(0, count).clear();
    }
}
