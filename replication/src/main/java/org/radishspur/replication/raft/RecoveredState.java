package org.radishspur.replication.raft;

import java.util.List;

/**
 * Holds the durable state that a replica reads from its disk when it starts.
 *
 * @param hardState the election state.
 * @param snapshot the latest snapshot, or the initial one where none was written.
 * @param entries the entries that follow the snapshot, without gaps.
 */
public record RecoveredState(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {}
