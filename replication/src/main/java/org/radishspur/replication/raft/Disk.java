package org.radishspur.replication.raft;

/**
 * Stores the durable state of a replica. When {@link #write} returns, the batch is durable. When it throws, it is
 * unknown whether the batch is durable, and the process of the replica must exit.
 */
public interface Disk extends AutoCloseable {

    /**
     * Reads the state that earlier runs of the process have made durable.
     *
     * @return the state to start from.
     */
    RecoveredState recover();

    /**
     * Writes a batch and makes it durable.
     *
     * @param batch the batch to write.
     */
    void write(WriteBatch batch);

    /**
     * Stores a large snapshot before the batch that puts it into effect, so that writing the batch takes little time.
     * Any thread may call this method.
     *
     * @param snapshot the snapshot to store.
     */
    void prepareSnapshot(Snapshot snapshot);

    /** {@inheritDoc} */
    @Override
    void close();
}
