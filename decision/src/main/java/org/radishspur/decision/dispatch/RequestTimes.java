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
    private static final double FIRST_BYTE_RESERVE = 1.5;

    /** Share of the time until the target for which a request may wait where no times are known, and at least. */
    private static final double USUAL_WAIT_SHARE = 0.5;

    /** Returns until when a slot must be granted for the first byte to be likely to be on time. */
    long latestStart(QueuedRequest queued) {
        return queued.requirements().targetAt() - (long) firstByteMillis;
    }

    /** Returns until when a request may wait and be likely to be on time; a share of its time where that isn't known. */
    long latestWait(QueuedRequest queued) {
        return firstByteMillis > 0
                ? queued.requirements().targetAt() - (long) (firstByteMillis * FIRST_BYTE_RESERVE)
                : usualWait(queued);
    }

    /** Returns until when a request may wait in any case. */
    long usualWait(QueuedRequest queued) {
        long millis = queued.requirements().targetAt() - queued.arrivedAt();
        return queued.arrivedAt() + (long) (millis * USUAL_WAIT_SHARE);
    }
}
