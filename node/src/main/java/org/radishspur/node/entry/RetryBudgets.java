package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.node.caller.RetryBudget;

/**
 * Holds the budget of retries for each pool at one entry.
 */
final class RetryBudgets {
    /** How many entries share the slack at least, where their number isn't known yet. */
    private static final int MIN_ENTRIES = 4;

    /**
     * The part of the slack that all entries together may spend at once; the rest covers entries that have restarted, with a
     * budget of their own each time.
     */
    private static final double BURST_SLACK_SHARE = 0.8;

    /** The part of the allowed share of retries that entries earn by requests; the rest covers windows that begin busy. */
    private static final double EARNED_RETRY_SHARE = 0.5;

    private final double retryShare;
    private final int retrySlack;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private int entries = MIN_ENTRIES;

    RetryBudgets(double retryShare, int retrySlack) {
        this.retryShare = retryShare;
        this.retrySlack = retrySlack;
    }

    void entries(int number) {
        entries = Math.max(MIN_ENTRIES, number);
    }

    /** Returns the budget of a pool. Each entry may spend its part of the slack at once, and earns more by its requests. */
    RetryBudget forPool(String pool) {
        return budgets.computeIfAbsent(pool, name -> new RetryBudget(retryShare * EARNED_RETRY_SHARE, burst()));
    }

    private int burst() {
        return (int) Math.max(1, Math.round(retrySlack * BURST_SLACK_SHARE / entries));
    }
}
