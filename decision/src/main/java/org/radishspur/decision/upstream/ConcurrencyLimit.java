package org.radishspur.decision.upstream;

/**
 * An adaptive limit on the number of requests that one upstream runs at once. The limit is multiplied by a factor below
 * 1 when the upstream is congested. It grows fast up to near the value at which congestion last occurred, and slowly
 * above.
 *
 * <p>Requests that were dispatched before the last decrease are ignored: they ran under the previous limit and would
 * make the limit oscillate.
 */
public final class ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.85;

    /** The fast increase, at each measurement without congestion while the limit is reached. */
    private static final double FAST_INCREASE = 0.6;

    /** The slow increase, which is divided by the limit. */
    private static final double SLOW_INCREASE = 3;

    /** The share of the last congested limit up to which the limit grows fast. */
    private static final double FAST_INCREASE_SHARE = 0.95;

    private final int ceiling;
    private double limit;
    private long decreasedAt = Long.MIN_VALUE / 2;
    private double lastCongestedLimit = Double.MAX_VALUE;

    /**
     * Creates a limit.
     *
     * @param initial the initial limit.
     * @param ceiling the maximum value that the limit may reach.
     */
    public ConcurrencyLimit(int initial, int ceiling) {
        this.ceiling = ceiling;
        this.limit = Math.min(initial, ceiling);
    }

    /**
     * Adjusts the limit after a measurement of a request.
     *
     * @param congested whether the upstream shows congestion.
     * @param startedAt when the request was dispatched, in microseconds.
     * @param inFlight the number of requests in flight, the measured one included.
     * @param now the current time in microseconds.
     * @return whether the limit was decreased.
     */
    public boolean update(boolean congested, long startedAt, int inFlight, long now) {
        if (startedAt < decreasedAt) {
            return false;
        }
        if (congested) {
            lastCongestedLimit = limit;
            limit = Math.max(1, Math.min(limit, inFlight) * DECREASE_FACTOR);
            decreasedAt = now;
        } else if (inFlight >= (int) limit) {
            limit = Math.min(
                    ceiling,
                    limit + (limit < FAST_INCREASE_SHARE * lastCongestedLimit ? FAST_INCREASE : SLOW_INCREASE / limit));
        }
        return congested;
    }

    /**
     * Lowers the limit to at most one above the number of running requests. Called when the upstream reports that
     * requests wait in its own queue, so that it can't run more.
     *
     * @param running the number of requests that the upstream reports as running.
     */
    public void capAtRunning(int running) {
        lastCongestedLimit = running + 1;
        limit = Math.max(1, Math.min(limit, lastCongestedLimit));
    }

    /**
     * Resets the limit to one request at a time, as for the probes after an ejection.
     */
    public void reset() {
        limit = 1;
    }

    /**
     * Returns the limit.
     *
     * @return the number of requests, at least 1.
     */
    public int value() {
        return (int) limit;
    }
}
