package org.radishspur.decision.dispatch;

import java.util.Arrays;

/**
 * Counts events in short periods, to tell their present rate from that over a longer time.
 */
final class RecentRate {
    private static final long PERIOD_MILLIS = 100;

    /** Number of periods, the current one included; the longest time over which a rate is taken is one less. */
    private static final int PERIODS = 51;

    private final int[] counts = new int[PERIODS];
    private long newest = Long.MIN_VALUE;

    /** Counts one event. */
    void add(long now) {
        advance(now);
        counts[indexOf(newest)]++;
    }

    /** Returns how many events there were in a second, over the complete periods of a recent time. */
    double perSecond(long millis, long now) {
        advance(now);
        int sum = 0;
        for (long period = newest - millis / PERIOD_MILLIS; period < newest; period++) {
            sum += counts[indexOf(period)];
        }
        return sum * 1_000.0 / millis;
    }

    private void advance(long now) {
        long period = Math.floorDiv(now, PERIOD_MILLIS);
        if (newest == Long.MIN_VALUE || period - newest >= PERIODS) {
            Arrays.fill(counts, 0);
            newest = period;
        }
        while (newest < period) {
            counts[indexOf(++newest)] = 0;
        }
    }

    private static int indexOf(long period) {
        return (int) Math.floorMod(period, (long) PERIODS);
    }
}
