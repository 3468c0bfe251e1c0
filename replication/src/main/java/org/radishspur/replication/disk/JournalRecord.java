package org.radishspur.replication.disk;

import java.util.List;
import java.util.Optional;

import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.LogEntry;

/**
 * Holds one write batch as it is stored in a journal.
 *
 * @param replica the identity of the replica that wrote the record.
 * @param hardState the election state, if it changed.
 * @param entries the log entries to append; each replaces an earlier entry of the same index and all entries after it.
 * @param snapshotIndex the last index that a completely stored snapshot covers, or 0 if the batch has no snapshot.
 * @param snapshotTerm the term of the entry at that index, or 0.
 * @param lastIndex the last index of the log once the record is applied, so that the entries behind a snapshot are kept
 *     or dropped as the running replica did, even if earlier journals are deleted; 0 if the log is empty or if an
 *     earlier version wrote the record.
 */
record JournalRecord(
        String replica,
        Optional<HardState> hardState,
        List<LogEntry> entries,
        long snapshotIndex,
        long snapshotTerm,
        long lastIndex) {}
