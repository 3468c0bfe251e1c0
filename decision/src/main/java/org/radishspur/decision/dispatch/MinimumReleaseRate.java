package org.radishspur.decision.dispatch;

/**
 * Gives the release rate that is assumed at least, for a scheduler that has counted too few releases to tell, such as
 * after a start or in the first moments of a burst.
 */
interface MinimumReleaseRate {
    /** Assumes two slots per second, as requests may hold slots for seconds and nothing tells for how long. */
    MinimumReleaseRate DEFAULT = (queued, now) -> 2;

    /** Returns the minimum rate, in slots per second, at which slots are released that a request may take. */
    double perSecond(QueuedRequest queued, long now);
}
