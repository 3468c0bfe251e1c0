package org.radishspur.decision.upstream;

/**
 * Bounds how many requests one upstream runs at once. The bound shrinks by a share at each sign of congestion, and grows
 * quickly again up to where congestion last showed, slowly from there on.
 *
 * <p>Guards against swinging to and fro: a sign from a request that was started before the bound last shrank says
 * nothing about the present bound, and is ignored.
 */
public final class ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.85;
    private static final double FAST_INCREASE = 0.6;
    private static final double SLOW_INCREASE = 3;
    private static final double FAST_INCREASE_SHARE = 0.95;

    private final int ceiling;
    private double limit;
    private long decreasedAt = Long.MIN_VALUE / 2;
    private double lastCongestedLimit = Double.MAX_VALUE;

    /**
     * Creates a limit.
     *
     * @param initial the first bound.
     * @param ceiling the bound that is never exceeded.
     */
    public ConcurrencyLimit(int initial, int ceiling) {
        this.ceiling = ceiling;
        this.limit = Math.min(initial, ceiling);
    }

    /**
     * Learns how an upstream served a request.
     *
     * @param congested whether the upstream shows congestion.
     * @param startedAt when the request was dispatched, in microseconds.
     * @param inFlight the number of requests in flight, the observed one included.
     * @param now the clock in microseconds.
     * @return whether the bound shrank.
     */
    public boolean learn(boolean congested, long startedAt, int inFlight, long now) {
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
     * Learns from the upstream's own report that requests wait inside it, so that it can't run more than it does.
     *
     * @param running the number of requests that it runs.
     */
    public void capAtRunning(int running) {
        lastCongestedLimit = running + 1;
        limit = Math.max(1, Math.min(limit, lastCongestedLimit));
    }

    /**
     * Starts again from one request at a time, as after an ejection.
     */
    public void reset() {
        limit = 1;
    }

    /**
     * Returns the bound.
     *
     * @return the number of requests, at least 1.
     */
    public int value() {
        return (int) limit;
    }
}
