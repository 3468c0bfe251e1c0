package org.radishspur.testkit.measure;

import org.HdrHistogram.Histogram;

/**
 * Collects durations in nanoseconds and returns their percentiles.
 */
final class Samples {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MICRO = 1_000;

    private final Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);

    void add(long nanos) {
        histogram.recordValue(Math.max(1, nanos));
    }

    double medianMicros() {
        return histogram.getValueAtPercentile(50) / NANOS_PER_MICRO;
    }

    double p99Micros() {
        return histogram.getValueAtPercentile(99) / NANOS_PER_MICRO;
    }

    static long usedHeap() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
