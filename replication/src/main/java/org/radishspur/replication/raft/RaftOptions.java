package org.radishspur.replication.raft;

/**
 * Holds the timeouts and size limits of a replica.
 *
 * @param heartbeatMillis the interval between the heartbeats of a leader, in milliseconds.
 * @param electionTimeoutMillis the minimum time without contact to a leader after which a follower starts an election,
 *     in milliseconds; a random time of up to the same length is added.
 * @param leaseMillis how long the replies of a majority allow the leader to serve reads, in milliseconds; it must be
 *     shorter than the election timeout by more than the drift of the hosts' clocks in that time; 0 disables the lease,
 *     and a majority has to confirm each read.
 * @param maximumEntriesPerMessage the maximum number of entries in one message.
 * @param snapshotChunkBytes the maximum number of bytes of a snapshot in one message.
 * @param trailingEntries the number of applied entries that stay in the log before the end of a snapshot, so that
 *     followers that lag a little don't need the snapshot.
 * @param limits the limits on the size of the entries in memory and in messages.
 */
public record RaftOptions(
        long heartbeatMillis,
        long electionTimeoutMillis,
        long leaseMillis,
        int maximumEntriesPerMessage,
        int snapshotChunkBytes,
        int trailingEntries,
        LogLimits limits) {
    /** The options for hosts with a network latency of a few milliseconds. */
    public static final RaftOptions DEFAULTS = new RaftOptions(100, 600, 480, 256, 1 << 18, 1_000);

    /**
     * Creates options with the default limits on the size of entries.
     *
     * @param heartbeatMillis the interval between the heartbeats of a leader, in milliseconds.
     * @param electionTimeoutMillis the minimum time without contact to a leader before an election, in milliseconds.
     * @param leaseMillis how long the replies of a majority allow the leader to serve reads, in milliseconds.
     * @param maximumEntriesPerMessage the maximum number of entries in one message.
     * @param snapshotChunkBytes the maximum number of bytes of a snapshot in one message.
     * @param trailingEntries the number of applied entries that stay in the log before the end of a snapshot.
     */
    public RaftOptions(
            long heartbeatMillis,
            long electionTimeoutMillis,
            long leaseMillis,
            int maximumEntriesPerMessage,
            int snapshotChunkBytes,
            int trailingEntries) {
        this(
                heartbeatMillis,
                electionTimeoutMillis,
                leaseMillis,
                maximumEntriesPerMessage,
                snapshotChunkBytes,
                trailingEntries,
                LogLimits.DEFAULTS);
    }
}
