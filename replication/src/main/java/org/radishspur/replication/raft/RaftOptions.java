package org.radishspur.replication.raft;

/**
 * Holds the times and sizes that a replica works with; times are in milliseconds.
 *
 * @param heartbeatMillis how often a leader shows that it lives.
 * @param electionTimeoutMillis how long a follower waits at least before it seeks an election; a random part of up to
 *     the same length is added.
 * @param leaseMillis how long a majority's answer lets the leader answer reads; shorter than the election timeout by
 *     more than clocks drift apart in that time; 0 where every read is confirmed by a majority instead.
 * @param maximumEntriesPerMessage how many entries one message carries at most.
 * @param snapshotChunkBytes how many bytes of a snapshot one message carries at most.
 * @param trailingEntries how many applied entries stay in the log behind a snapshot, for followers a little behind.
 */
public record RaftOptions(
        long heartbeatMillis,
        long electionTimeoutMillis,
        long leaseMillis,
        int maximumEntriesPerMessage,
        int snapshotChunkBytes,
        int trailingEntries) {
    /** Fits hosts within a few milliseconds of each other. */
    public static final RaftOptions STANDARD = new RaftOptions(100, 600, 480, 256, 1 << 18, 1_000);
}
