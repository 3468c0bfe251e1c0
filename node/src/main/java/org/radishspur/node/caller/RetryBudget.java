package org.radishspur.node.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of the requests, so that retries can't amplify an overload.
 */
public final class RetryBudget {
    /** The budget is counted in thousandths of a retry, because one request earns only a fraction of one. */
    private static final long UNITS_PER_RETRY = 1_000;

    private final long unitsPerRequest;
    private final long maxUnits;
    private final AtomicLong availableUnits;
    private final AtomicLong reserved = new AtomicLong();

    /**
     * Creates a budget that is one tenth full, but holds at least one retry.
     *
     * @param share the number of retries that each request adds, usually a fraction of one.
     * @param maxRetries the maximum number of retries that the budget holds.
     */
    public RetryBudget(double share, int maxRetries) {
        unitsPerRequest = (long) (share * UNITS_PER_RETRY);
        maxUnits = maxRetries * UNITS_PER_RETRY;
        availableUnits = new AtomicLong(Math.max(UNITS_PER_RETRY, maxUnits / 10));
    }

    /** Adds the share of one request to the budget. */
    public void recordRequest() {
        availableUnits.accumulateAndGet(unitsPerRequest, (units, added) -> Math.min(maxUnits, units + added));
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return whether the budget held one.
     */
    public boolean tryTake() {
        return availableUnits.getAndUpdate(units -> units >= UNITS_PER_RETRY ? units - UNITS_PER_RETRY : units)
                >= UNITS_PER_RETRY;
    }

    /**
     * Reserves a retry for an attempt that may not be sent. Reservations limit only each other, so that a request whose
     * only attempt has failed finds the retry.
     *
     * @return whether the budget holds more retries than are reserved.
     */
    public boolean tryReserve() {
        if (!hasUnreserved()) {
            return false;
        }
        reserved.incrementAndGet();
        return true;
    }

    /**
     * Returns whether a retry could be reserved now.
     *
     * @return whether the budget holds more retries than are reserved.
     */
    public boolean hasUnreserved() {
        return availableUnits.get() >= (reserved.get() + 1) * UNITS_PER_RETRY;
    }

    /** Ends a reservation. An attempt that is sent now takes its retry like others. */
    public void release() {
        reserved.decrementAndGet();
    }
}
