package org.radishspur.replication.raft;

import java.io.ByteArrayOutputStream;

/**
 * Collects the parts of one snapshot in order; a part that doesn't fit on the end is ignored and asked for again.
 */
final class SnapshotAssembly {
    private final long leaderTerm;
    private final long lastIndex;
    private final long lastTerm;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();

    SnapshotAssembly(long leaderTerm, long lastIndex, long lastTerm) {
        this.leaderTerm = leaderTerm;
        this.lastIndex = lastIndex;
        this.lastTerm = lastTerm;
    }

    /** Returns whether a part continues this snapshot; another leader may have encoded the same state differently. */
    boolean matches(RaftMessage.SnapshotRequest request) {
        return leaderTerm == request.term() && lastIndex == request.lastIndex() && lastTerm == request.lastTerm();
    }

    /** Adds a part; returns whether the snapshot is now whole. */
    boolean add(RaftMessage.SnapshotRequest request) {
        if (request.offset() != content.size()) {
            return false;
        }
        content.writeBytes(request.chunk());
        return request.last();
    }

    long size() {
        return content.size();
    }

    byte[] bytes() {
        return content.toByteArray();
    }
}
