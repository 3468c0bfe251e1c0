package org.radishspur.decision.dispatch;

/**
 * Assigns refused callers the times at which to retry, each the room that becomes free after what others were assigned. So
 * callers that are refused at the same moment don't all return at the same moment, to be refused again.
 */
final class ReturnTimes {
    private double assignedUntil = Double.NEGATIVE_INFINITY;

    /**
     * Assigns the next room to a caller.
     *
     * @param waitMillis after how many milliseconds there is room for a caller, leaving aside those that return.
     * @param roomMillis in how many milliseconds room for one such request becomes free.
     * @param usableMillis for how many milliseconds room is of use to the caller; later room stays unassigned.
     * @param now the current time in milliseconds.
     * @return after how many milliseconds the caller should retry, at least 1.
     */
    long assign(long waitMillis, double roomMillis, long usableMillis, long now) {
        double at = Math.max(now + waitMillis, assignedUntil + roomMillis);
        if (at - now <= usableMillis) {
            assignedUntil = at;
        }
        return Math.max(1, (long) Math.ceil(at - now));
    }
}
