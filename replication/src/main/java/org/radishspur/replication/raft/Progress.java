package org.radishspur.replication.raft;

import java.util.Optional;

/**
 * Tracks the leader's replication state for one other replica. Times are in milliseconds of the leader's monotonic
 * clock.
 */
final class Progress {
    /** The highest index known to be durable on the replica. */
    long matchIndex;

    /** The index of the next entry to send. */
    long nextIndex;

    /** When the leader sent the latest message that the replica has replied to. */
    long acknowledgedSendTime;

    /** Since when entries or a chunk of a snapshot wait for a reply, or 0 if nothing does. */
    long unacknowledgedSince;

    /** The index of the first entry that waits for a reply; meaningless if nothing does. */
    long unacknowledgedFrom;

    /**
     * The snapshot that is being sent to the replica, if any. Its transfer is completed even when a newer snapshot
     * exists: if it started again with each new snapshot, it might never complete.
     */
    Optional<Snapshot> snapshotInTransfer = Optional.empty();

    /** The number of bytes of that snapshot that the replica has acknowledged. */
    long snapshotOffset;

    Progress(long nextIndex, long now) {
        this.nextIndex = nextIndex;
        this.acknowledgedSendTime = now;
    }
}
