package org.radishspur.replication.raft;

import java.io.ByteArrayOutputStream;

/**
 * Assembles a snapshot from its chunks in order. A chunk at another offset is ignored; the reply states the offset that
 * the leader has to send from.
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

    /** Returns whether a chunk belongs to this snapshot; another leader may have encoded the same state differently. */
    boolean matches(RaftMessage.SnapshotRequest request) {
        return leaderTerm == request.term() && lastIndex == request.lastIndex() && lastTerm == request.lastTerm();
    }

    /** Adds a chunk; returns whether the snapshot is now complete. */
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
