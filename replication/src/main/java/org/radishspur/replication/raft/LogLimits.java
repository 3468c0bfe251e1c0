package org.radishspur.replication.raft;

/**
 * Bounds what a replica keeps of the log in memory, in bytes of entries. The numbers of entries bound it too, but an entry may hold
 * a document of several megabytes.
 *
 * @param messageBytes the maximum size of the entries in one message, unless it holds a single entry.
 * @param unacknowledgedBytes the maximum size of the entries that are sent to a replica and that it hasn't acknowledged, unless it
 *     is a single message.
 * @param trailingBytes the maximum size of the applied entries that stay in the log before the end of a snapshot.
 * @param snapshotBytes the size of the applied entries after which a snapshot is made.
 * @param totalBytes the maximum size of the log, and of what waits for the disk, above which nothing is proposed; it is reached
 *     only while snapshots or writes take long.
 */
public record LogLimits(
        long messageBytes, long unacknowledgedBytes, long trailingBytes, long snapshotBytes, long totalBytes) {
    /** The limits for hosts with memory to spare. */
    public static final LogLimits DEFAULTS = new LogLimits(1 << 20, 16 << 20, 16 << 20, 64 << 20, 256 << 20);
}
