package org.radishspur.decision.dispatch;

/**
 * Holds how long a pool is expected to need for a request once a slot is granted, at an upstream of its usual speed.
 *
 * @param firstByteMillis the time to the first byte, in milliseconds; 0 where it isn't known.
 * @param holdMillis the time for which the request holds its slot, in milliseconds; 0 where it isn't known, or where the
 *     caller doesn't state the length of the answer.
 */
record RequestTimes(double firstByteMillis, double holdMillis) {
    /** States that nothing is known. */
    static final RequestTimes UNKNOWN = new RequestTimes(0, 0);

    /** Ratio of the time that is left for the first byte to the expected one; prompts ahead at an upstream add to it. */
    private static final double FIRST_BYTE_MARGIN_FACTOR = 1.5;

    /** Minimum wait, as a share of the time until the target; it is also the wait where the pool's times aren't known. */
    private static final double MIN_WAIT_SHARE = 0.5;

    /** Returns until when a slot must be granted for the first byte to be likely to be on time, on the scheduler's clock. */
    long latestStart(QueuedRequest queued) {
        return dueAt(queued) - (long) firstByteMillis;
    }

    /**
     * Returns until when a request may wait and still be likely to be on time, on the scheduler's clock; {@link
     * #minWaitUntil} where the times aren't known.
     */
    long waitUntil(QueuedRequest queued) {
        return firstByteMillis > 0
                ? dueAt(queued) - (long) (firstByteMillis * FIRST_BYTE_MARGIN_FACTOR)
                : minWaitUntil(queued);
    }

    /** Returns until when a request may wait in any case, on the scheduler's clock. */
    long minWaitUntil(QueuedRequest queued) {
        return queued.arrivedAt() + (long) ((dueAt(queued) - queued.arrivedAt()) * MIN_WAIT_SHARE);
    }

    /** Returns when the first byte is due; a deadline may be earlier than the target. */
    private static long dueAt(QueuedRequest queued) {
        return Math.min(queued.requirements().targetAt(), queued.requirements().endsAt());
    }
}
