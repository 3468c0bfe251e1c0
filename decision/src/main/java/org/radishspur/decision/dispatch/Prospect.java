package org.radishspur.decision.dispatch;

/**
 * Holds the prospects of a request that was refused a slot. A request that waited before shows by them what has changed.
 *
 * @param firstExpectedMillis how long it was expected to wait when it was queued, in milliseconds; 0 if it was refused at
 *     once.
 * @param expectedMillis how long it would have to wait from now on, in milliseconds; {@link #NO_ROOM} where no room is
 *     expected.
 * @param usableMillis for how long a slot would still have been of use to its caller, in milliseconds.
 */
public record Prospect(long firstExpectedMillis, long expectedMillis, long usableMillis) {
    /** States that no room is expected. */
    public static final long NO_ROOM = -1;

    /** Holds no estimates, as where a request isn't refused by its prospects. */
    public static final Prospect NONE = new Prospect(0, 0, 0);

    /** States a wait that doesn't end as {@link #NO_ROOM}. */
    public Prospect {
        expectedMillis = expectedMillis >= WaitEstimate.NEVER ? NO_ROOM : expectedMillis;
    }
}
