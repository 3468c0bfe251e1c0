package org.radishspur.decision.dispatch;

/**
 * Bounds how many requests a scheduler may have in progress that doesn't see those of the others: its share of the slots,
 * and as many beyond it as independent arrivals vary by.
 */
enum OwnShare {
    /** The only instance; the rule has no state. */
    INSTANCE;

    /** How many standard deviations of a Poisson variable are allowed beyond the share. */
    private static final double DEVIATIONS = 2;

    /**
     * Returns the bound.
     *
     * @param slots the slots of the pool.
     * @param schedulers the number of schedulers that share them.
     * @return the maximum number of requests in progress, at least 1.
     */
    int maxInProgress(int slots, int schedulers) {
        double share = (double) slots / schedulers;
        return Math.max(1, (int) Math.ceil(share + DEVIATIONS * Math.sqrt(share)));
    }
}
