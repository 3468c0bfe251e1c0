package org.radishspur.testkit.load;

import java.util.Locale;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Collects the latencies and failures of calls, and the time that they took together.
 */
public final class LoadResult {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Histogram latencies = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private final java.util.concurrent.atomic.AtomicLong failures = new java.util.concurrent.atomic.AtomicLong();
    private long elapsedNanos;

    void recordSuccess(long micros) {
        latencies.recordValue(Math.max(1, micros));
    }

    void recordFailure() {
        failures.incrementAndGet();
    }

    void addElapsedNanos(long nanos) {
        elapsedNanos += nanos;
    }

    void add(LoadResult other) {
        latencies.add(other.latencies);
        failures.addAndGet(other.failures.get());
        elapsedNanos += other.elapsedNanos;
    }

    long latencyMicros(double percentile) {
        return latencies.getValueAtPercentile(percentile);
    }

    /**
     * Returns the number of calls without an answer of status 200.
     *
     * @return the number.
     */
    public long failures() {
        return failures.get();
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "n=%d failed=%d p50=%d us p99=%d us max=%d us rate=%.0f/s",
                latencies.getTotalCount(),
                failures.get(),
                latencyMicros(50),
                latencyMicros(99),
                latencies.getMaxValue(),
                latencies.getTotalCount() * NANOS_PER_SECOND / Math.max(1, elapsedNanos));
    }
}
