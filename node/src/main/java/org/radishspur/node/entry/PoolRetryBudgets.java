package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.node.caller.RetryBudget;

/**
 * Holds the retry budget of each pool at one entry. The budgets of all entries together stay within the configured
 * limits.
 */
final class PoolRetryBudgets {
    /** The minimum number of entries among which the slack is divided, used also while their number isn't known. */
    private static final int MIN_ENTRIES = 4;

    /**
     * The share of the slack that all entries together may spend in a burst. The rest covers restarted entries, which
     * start with a new budget each time.
     */
    private static final double BURST_SLACK_SHARE = 0.8;

    /**
     * The share of the configured retry ratio that requests add to a budget. The rest covers measurement windows that
     * start in the middle of a busy period.
     */
    private static final double EARNED_RETRY_SHARE = 0.5;

    private final double retryShare;
    private final int retrySlack;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private int entryCount = MIN_ENTRIES;

    PoolRetryBudgets(double retryShare, int retrySlack) {
        this.retryShare = retryShare;
        this.retrySlack = retrySlack;
    }

    /** Sets the number of entries, which applies to budgets that are created later. */
    void setEntryCount(int number) {
        entryCount = Math.max(MIN_ENTRIES, number);
    }

    /**
     * Returns the budget of a pool. It allows a burst of this entry's share of the slack, and grows with each request.
     */
    RetryBudget forPool(String pool) {
        return budgets.computeIfAbsent(pool, name -> new RetryBudget(retryShare * EARNED_RETRY_SHARE, burst()));
    }

    private int burst() {
        return (int) Math.max(1, Math.round(retrySlack * BURST_SLACK_SHARE / entryCount));
    }
}
