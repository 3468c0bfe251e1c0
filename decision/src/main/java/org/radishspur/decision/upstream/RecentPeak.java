package org.radishspur.decision.upstream;

/**
 * Tracks the maximum of a count over the current and the previous period.
 */
final class RecentPeak {
    private final long periodMicros;
    private long currentPeriod;
    private int currentPeak;
    private int previousPeak;
    private int lastCount;

    /**
     * Creates a peak of zero.
     *
     * @param periodMicros the length of a period in microseconds.
     */
    RecentPeak(long periodMicros) {
        this.periodMicros = periodMicros;
    }

    /**
     * Records the count after an increase. Decreases need not be recorded; the peak may be too high then for a period.
     *
     * @param count the count.
     * @param now the current time in microseconds.
     */
    void record(int count, long now) {
        long period = now / periodMicros;
        if (period != currentPeriod) {
            previousPeak = period == currentPeriod + 1 ? currentPeak : lastCount;
            currentPeak = count;
            currentPeriod = period;
        }
        currentPeak = Math.max(currentPeak, count);
        lastCount = count;
    }

    /**
     * Returns the maximum count.
     *
     * @return the maximum of the current and the previous period.
     */
    int value() {
        return Math.max(currentPeak, previousPeak);
    }
}
