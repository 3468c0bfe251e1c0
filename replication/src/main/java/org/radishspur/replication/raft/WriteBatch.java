package org.radishspur.replication.raft;

import java.util.List;
import java.util.Optional;

/**
 * Lists what a replica writes to its disk in one atomic step. Batches become durable in order, and the messages that
 * depend on a batch are only sent once it is durable.
 *
 * @param hardState the new election state, if it has changed.
 * @param entries the entries to append; each one replaces all entries on disk that have the same or a higher index.
 * @param snapshot the snapshot that takes effect with this batch, if there is one.
 */
public record WriteBatch(Optional<HardState> hardState, List<LogEntry> entries, Optional<Snapshot> snapshot) {

    /**
     * Returns whether the batch has nothing to write.
     *
     * @return whether the batch is empty.
     */
    public boolean isEmpty() {
        return hardState.isEmpty() && entries.isEmpty() && snapshot.isEmpty();
    }
}
