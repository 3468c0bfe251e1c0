package org.radishspur.node.entry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishspur.node.caller.RetryBudget;

import static org.assertj.core.api.Assertions.assertThat;

class PoolRetryBudgetsTest {
    private static final double RETRY_SHARE = 0.2;

    private static int burst(int entries, int slack) {
        PoolRetryBudgets budgets = new PoolRetryBudgets(RETRY_SHARE, slack);
        budgets.setEntryCount(entries);
        RetryBudget budget = budgets.forPool("pool");
        for (int request = 0; request < 10_000; request++) {
            budget.recordRequest();
        }
        int taken = 0;
        while (budget.tryTake()) {
            taken++;
        }
        return taken;
    }

    /** Guards against bursts of retries at all entries at once that together exceed the slack. */
    @ParameterizedTest
    @CsvSource({"7, 54", "9, 58", "54, 150", "91, 222"})
    void staysWithinTheSlackAcrossAllEntries(int entries, int slack) {
        assertThat(burst(entries, slack) * entries).isLessThanOrEqualTo(slack);
    }

    /** Guards against a request that fails because its entry has just spent its only retry on another one. */
    @Test
    void allowsOneOfManyEntriesTwoRetriesInARow() {
        assertThat(burst(91, 222)).isGreaterThanOrEqualTo(2);
    }
}
