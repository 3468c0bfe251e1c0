package org.radishspur.node.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps retries to a share of the requests, so that they can't multiply an overload.
 */
public final class RetryBudget {
    private static final long UNIT = 1_000;

    private final long perRequest;
    private final long greatest;
    private final AtomicLong balance;

    /**
     * Creates a budget that is a tenth full.
     *
     * @param share how many retries each request adds.
     * @param mostAtOnce how many retries the budget holds at most.
     */
    public RetryBudget(double share, int mostAtOnce) {
        perRequest = (long) (share * UNIT);
        greatest = mostAtOnce * UNIT;
        balance = new AtomicLong(Math.max(UNIT, greatest / 10));
    }

    /** Notes one request. */
    public void requested() {
        balance.accumulateAndGet(perRequest, (present, added) -> Math.min(greatest, present + added));
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return whether there was one.
     */
    public boolean take() {
        return balance.getAndUpdate(present -> present >= UNIT ? present - UNIT : present) >= UNIT;
    }
}
