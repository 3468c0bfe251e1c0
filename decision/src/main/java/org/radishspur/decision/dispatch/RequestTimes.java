package org.radishspur.decision.dispatch;

/**
 * Holds how long a pool is expected to need for a request once a slot is granted, at an upstream of its usual speed.
 *
 * @param firstByteMillis the time to the first byte, in milliseconds; 0 where it isn't known.
 * @param shortestFirstByteMillis the same at the fastest upstream.
 * @param holdMillis the time for which the request holds its slot, in milliseconds; 0 where it isn't known, or where the
 *     caller doesn't state the length of the answer.
 */
record RequestTimes(double firstByteMillis, double shortestFirstByteMillis, double holdMillis) {
    /** States that nothing is known. */
    static final RequestTimes UNKNOWN = new RequestTimes(0, 0, 0);

    /** Ratio of the time that is left for the work to the expected one; prompts ahead at an upstream add to it. */
    private static final double MARGIN_FACTOR = 1.5;

    /** Returns until when a slot must be granted for the first byte to be likely to be on time, on the scheduler's clock. */
    long latestStart(QueuedRequest queued) {
        return dueAt(queued) - (long) firstByteMillis;
    }

    /** Returns the same for a slot of the fastest upstream. */
    long latestFastStart(QueuedRequest queued) {
        return dueAt(queued) - (long) shortestFirstByteMillis;
    }

    /** Returns when the first byte is due; a deadline may be earlier than the target. */
    private static long dueAt(QueuedRequest queued) {
        return Math.min(queued.requirements().targetAt(), queued.requirements().endsAt());
    }

    /**
     * Returns until when a slot is of use to a request, on the scheduler's clock: the first byte must come within the time
     * that its caller waits for it, and the whole answer of a plain call before its deadline. How long a stream takes is
     * too uncertain to give it up for that.
     */
    long waitUntil(QueuedRequest queued) {
        long firstByteBy = queued.queueingDeadline() - (long) (firstByteMillis * MARGIN_FACTOR);
        return queued.isPlainCall()
                ? Math.min(firstByteBy, queued.requirements().endsAt() - (long) (holdMillis * MARGIN_FACTOR))
                : firstByteBy;
    }
}
