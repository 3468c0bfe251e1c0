package org.radishspur.decision.dispatch;

import java.util.Arrays;

/**
 * Sums up use over the last seconds. It counts by slices of time, so that its size doesn't depend on the number of
 * requests; use expires up to a slice late, never early.
 */
final class UsageWindow {
    /** The maximum number of slices in a window by which decisions are made. */
    private static final int MAX_SLICES = 400;

    private final long sliceMillis;

    /** The use by slice; one more than a window has, as the newest is being filled while the oldest expires. */
    private final double[] slices;

    private long newest;
    private double total;

    /**
     * Creates a window without use.
     *
     * @param windowMillis the length of the window in milliseconds.
     * @param now the current time in milliseconds.
     */
    UsageWindow(long windowMillis, long now) {
        this(windowMillis, MAX_SLICES, now);
    }

    /**
     * Creates a window without use that is less exact.
     *
     * @param windowMillis the length of the window in milliseconds.
     * @param maxSlices the maximum number of slices.
     * @param now the current time in milliseconds.
     */
    UsageWindow(long windowMillis, int maxSlices, long now) {
        sliceMillis = Math.max(1, divideUp(windowMillis, maxSlices));
        slices = new double[(int) divideUp(windowMillis, sliceMillis) + 1];
        newest = sliceAt(now);
    }

    /** Returns the use that has not expired. */
    double total() {
        return total;
    }

    /** Returns the use that has not expired and was added for a time or later ones. */
    double totalSince(long since) {
        double sum = 0;
        for (long slice = Math.max(sliceAt(since), oldest()); slice <= newest; slice++) {
            sum += slices[indexOf(slice)];
        }
        return sum;
    }

    /** Returns when the use that has not expired was added; call {@link #advance} before. */
    UseHistory history(long now) {
        int[] amounts = new int[slices.length];
        int count = 0;
        for (int age = 0; age < amounts.length; age++) {
            amounts[age] = (int) Math.min(Integer.MAX_VALUE, Math.round(slices[indexOf(newest - age)]));
            count = amounts[age] > 0 ? age + 1 : count;
        }
        int newestMillis = (int) (now - newest * sliceMillis);
        return new UseHistory(newestMillis, (int) sliceMillis, Arrays.copyOf(amounts, count));
    }

    /** Removes all use. */
    void clear() {
        Arrays.fill(slices, 0);
        total = 0;
    }

    /** Removes the use that has expired. */
    void advance(long now) {
        long current = sliceAt(now);
        if (current - newest >= slices.length) {
            Arrays.fill(slices, 0);
            total = 0;
            newest = current;
        }
        while (newest < current) {
            newest++;
            total -= slices[indexOf(newest)];
            slices[indexOf(newest)] = 0;
        }
    }

    /** Adds use of one moment, which may be past. */
    void add(double amount, long at) {
        addTo(sliceAt(at), amount);
    }

    /** Adds use that is spread evenly over a span of time; what has expired of it is not counted. */
    void addEvenly(double amount, long from, long to) {
        if (to <= from) {
            add(amount, to);
            return;
        }
        long last = sliceAt(to);
        for (long slice = Math.max(sliceAt(from), oldest()); slice <= last; slice++) {
            long start = Math.max(from, slice * sliceMillis);
            long end = Math.min(to, (slice + 1) * sliceMillis);
            addTo(slice, amount * (end - start) / (to - from));
        }
    }

    /**
     * Removes use that was added for a moment; where less is left of that moment, use of the time before it.
     *
     * @return how much was removed.
     */
    double remove(double amount, long at) {
        double remaining = amount;
        for (long slice = Math.min(newest, sliceAt(at)); slice >= oldest() && remaining > 0; slice--) {
            double removed = Math.min(remaining, slices[indexOf(slice)]);
            addTo(slice, -removed);
            remaining -= removed;
        }
        return amount - remaining;
    }

    /** Returns the use of one slice that has not expired. */
    double amountOf(long slice) {
        return slices[indexOf(slice)];
    }

    /** Returns after how many milliseconds a slice has expired, at least 1. */
    long millisUntilSliceExpired(long slice, long now) {
        return Math.max(1, (slice + slices.length) * sliceMillis - now);
    }

    /** Returns the begin of the oldest slice that has not expired, in milliseconds. */
    long startMillis() {
        return oldest() * sliceMillis;
    }

    /** Returns the number of the newest slice. */
    long newest() {
        return newest;
    }

    /** Returns the number of the oldest slice that has not expired. */
    long oldest() {
        return newest - slices.length + 1;
    }

    private void addTo(long slice, double amount) {
        if (slice >= oldest()) {
            slices[indexOf(Math.min(newest, slice))] += amount;
            total += amount;
        }
    }

    private static long divideUp(long dividend, long divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private long sliceAt(long at) {
        return Math.floorDiv(at, sliceMillis);
    }

    private int indexOf(long slice) {
        return Math.floorMod(slice, slices.length);
    }
}
