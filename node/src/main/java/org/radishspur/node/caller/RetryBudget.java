package org.radishspur.node.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps retries to a share of the requests, so that they can't multiply an overload.
 */
public final class RetryBudget {
    private static final long UNITS_PER_RETRY = 1_000;

    private final long unitsPerRequest;
    private final long maxUnits;
    private final AtomicLong availableUnits;

    /**
     * Creates a budget that is a tenth full.
     *
     * @param share how many retries each request adds.
     * @param mostAtOnce how many retries the budget holds at most.
     */
    public RetryBudget(double share, int mostAtOnce) {
        unitsPerRequest = (long) (share * UNITS_PER_RETRY);
        maxUnits = mostAtOnce * UNITS_PER_RETRY;
        availableUnits = new AtomicLong(Math.max(UNITS_PER_RETRY, maxUnits / 10));
    }

    /** Notes one request. */
    public void requested() {
        availableUnits.accumulateAndGet(unitsPerRequest, (present, added) -> Math.min(maxUnits, present + added));
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return whether there was one.
     */
    public boolean take() {
        return availableUnits.getAndUpdate(present -> present >= UNITS_PER_RETRY ? present - UNITS_PER_RETRY : present)
                >= UNITS_PER_RETRY;
    }
}
