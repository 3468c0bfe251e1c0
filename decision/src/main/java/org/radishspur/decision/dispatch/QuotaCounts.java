package org.radishspur.decision.dispatch;

/**
 * Counts for an operator what quotas that are measured over a window refuse, and what exceeds them. The use at other
 * schedulers is included as far as it is known here.
 */
public final class QuotaCounts {
    private long refusedWithinLimit;
    private long refusedBeyondLimit;
    private double excessUse;

    QuotaCounts() {}

    void recordRefusal(boolean withinLimit) {
        refusedWithinLimit += withinLimit ? 1 : 0;
        refusedBeyondLimit += withinLimit ? 0 : 1;
    }

    void recordExcess(double cost) {
        excessUse += Math.max(0, cost);
    }

    /**
     * Returns how many requests were refused although they were within the limit: late ones, to leave a reserve.
     *
     * @return the number since the scheduler started.
     */
    public long refusedWithinLimit() {
        return refusedWithinLimit;
    }

    /**
     * Returns how many requests were refused beyond the limit.
     *
     * @return the number since the scheduler started.
     */
    public long refusedBeyondLimit() {
        return refusedBeyondLimit;
    }

    /**
     * Returns the cost that was admitted beyond the limits, within their tolerance.
     *
     * @return the sum since the scheduler started, in the units of the limits.
     */
    public long excessUse() {
        return (long) excessUse;
    }
}
