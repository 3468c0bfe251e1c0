package org.radishspur.decision.dispatch;

/**
 * Gives the rates at which slots are released where counted releases don't tell: after a start, in the first moments of a
 * burst, and while upstreams stall.
 */
interface ReleaseRate {
    /** Assumes two slots per second, as requests may hold slots for seconds and nothing tells for how long. */
    ReleaseRate DEFAULT = (queued, now) -> 2;

    /** Returns the minimum rate, in slots per second, at which slots are released that a request may take. */
    double minPerSecond(QueuedRequest queued, long now);

    /**
     * Returns the rate, in slots per second, at which slots that a request may take are released while all are taken and
     * upstreams answer as usual. More is counted only by chance, and less where not all slots are taken or upstreams stall.
     */
    default double capacityPerSecond(QueuedRequest queued, long now) {
        return minPerSecond(queued, now);
    }
}
