package org.radishspur.decision.dispatch;

import java.util.Arrays;

/**
 * Estimates quantiles of the latest samples of a measure.
 */
final class RecentQuantiles {
    /** The number of latest samples that are kept. */
    private static final int SAMPLES = 128;

    /** The number of new samples after which the kept ones are sorted again. */
    private static final int SORT_INTERVAL = 8;

    private final double[] latest = new double[SAMPLES];
    private double[] sorted = new double[0];
    private long added;

    /** Adds a sample. */
    void add(double sample) {
        latest[(int) (added++ % SAMPLES)] = sample;
        if (added % SORT_INTERVAL == 0) {
            sorted = Arrays.copyOf(latest, (int) Math.min(added, SAMPLES));
            Arrays.sort(sorted);
        }
    }

    /** Returns how many samples were added. */
    long samples() {
        return added;
    }

    /**
     * Returns a quantile.
     *
     * @param share the share of the samples that are at most as large, from 0 to 1.
     * @return the quantile; 0 as long as there are hardly any samples.
     */
    double value(double share) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.round(share * (sorted.length - 1))];
    }
}
