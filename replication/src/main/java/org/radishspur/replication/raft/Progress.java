package org.radishspur.replication.raft;

import java.util.Optional;

/**
 * Tracks what the leader knows of one other replica.
 */
final class Progress {
    /** The greatest index known to be on the replica's disk. */
    long matchIndex;

    /** The index to send next. */
    long nextIndex;

    /** The leader's clock when it sent the latest message that the replica has answered. */
    long acknowledgedSendTime;

    /** The leader's clock when it last sent entries that are still unanswered, or 0. */
    long unacknowledgedSince;

    /**
     * The snapshot on its way to the replica, if there is one. It is sent to its end even when a later one has been made:
     * a replica that starts over with each new snapshot may never hold a whole one.
     */
    Optional<Snapshot> snapshotInTransfer = Optional.empty();

    /** How many bytes of that snapshot the replica has taken. */
    long snapshotOffset;

    Progress(long nextIndex, long now) {
        this.nextIndex = nextIndex;
        this.acknowledgedSendTime = now;
    }
}
