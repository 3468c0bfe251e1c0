package org.radishspur.node.settings;

/**
 * Holds the limits on sizes, connections, threads and retries of a node.
 *
 * @param headerBytes the maximum size of a request's headers, and of its first line, each in bytes.
 * @param initialBodyBytes the number of bytes of a body that are buffered before the request is dispatched.
 * @param storedAnswerBytes the maximum size of an answer that is stored to replay it to a retry of its request, in
 *     bytes.
 * @param frameBytes the maximum size of a frame between processes, in bytes.
 * @param trafficThreads the number of threads that serve connections.
 * @param callerConnections the maximum number of callers' connections.
 * @param retryShare the maximum share of requests that may be retried, from 0 to 1.
 * @param entriesPerSnapshot the number of log entries that are applied between two snapshots.
 * @param minimumFreeBytes the free disk space below which a control node refuses edits and claims, in bytes.
 */
public record Limits(
        int headerBytes,
        int initialBodyBytes,
        int storedAnswerBytes,
        int frameBytes,
        int trafficThreads,
        int callerConnections,
        double retryShare,
        int entriesPerSnapshot,
        long minimumFreeBytes) {}
