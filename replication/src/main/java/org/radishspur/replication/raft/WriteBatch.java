package org.radishspur.replication.raft;

import java.util.List;
import java.util.Optional;

/**
 * Lists what must be on disk, all or nothing and in order of batches, before the messages that depend on it may go out.
 *
 * @param hardState the new election state, if it changed.
 * @param entries the entries to append; an entry replaces every earlier one with the same or a higher index.
 * @param snapshot a snapshot to install, if there is one.
 */
public record WriteBatch(Optional<HardState> hardState, List<LogEntry> entries, Optional<Snapshot> snapshot) {

    /**
     * Returns whether there is nothing to write.
     *
     * @return whether the batch is empty.
     */
    public boolean isEmpty() {
        return hardState.isEmpty() && entries.isEmpty() && snapshot.isEmpty();
    }
}
