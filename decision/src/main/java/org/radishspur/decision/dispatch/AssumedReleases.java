package org.radishspur.decision.dispatch;

/**
 * Assumes how often slots are released to a scheduler that has counted too few releases to tell, such as after a start
 * or in the first moments of a burst.
 */
interface AssumedReleases {
    /** Assumes two slots per second, as requests may hold slots for seconds and nothing tells for how long. */
    AssumedReleases FEW = (queued, now) -> 2;

    /** Returns the minimum number of slots per second that are released to this scheduler. */
    double perSecond(QueuedRequest queued, long now);
}
