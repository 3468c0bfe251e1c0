package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Sums up use over the last seconds in which its limit may have changed. Use from the time of a higher limit counts in
 * proportion to the present one, because it was allowed and must not block requests within the lower limit. It counts in
 * full again once the limit is as high as it was.
 */
final class LimitedUsageWindow {
    private final long windowMillis;

    /** The times of different limits, the newest first, back to the start of the window. */
    private final Deque<Phase> phases = new ArrayDeque<>();

    /**
     * Creates a window without use.
     *
     * @param windowMillis the length of the window in milliseconds.
     * @param limit the present limit, above 0, which is taken for that of the time before as well.
     * @param now the current time in milliseconds.
     */
    LimitedUsageWindow(long windowMillis, double limit, long now) {
        this.windowMillis = windowMillis;
        phases.add(new Phase(Long.MIN_VALUE, limit, new UsageWindow(windowMillis, now)));
    }

    /** Sets the limit of the time from now on. */
    void setLimit(double limit, long now) {
        if (limit != limit()) {
            phases.addFirst(new Phase(now, limit, new UsageWindow(windowMillis, now)));
        }
    }

    double limit() {
        return phases.getFirst().limit;
    }

    /** Removes the use that has expired. */
    void advance(long now) {
        phases.forEach(phase -> phase.use.advance(now));
        while (phases.size() > 1 && endOfOldest() <= phases.getFirst().use.startMillis()) {
            phases.removeLast();
        }
    }

    private long endOfOldest() {
        Iterator<Phase> oldestFirst = phases.descendingIterator();
        oldestFirst.next();
        return oldestFirst.next().from;
    }

    /** Returns the use that has not expired. */
    double total() {
        double sum = 0;
        for (Phase phase : phases) {
            sum += phase.use.total() * phase.share(limit());
        }
        return sum;
    }

    /** Returns the use that has not expired and was added for a time or later ones. */
    double totalSince(long since) {
        double sum = 0;
        for (Phase phase : phases) {
            sum += phase.use.totalSince(since) * phase.share(limit());
        }
        return sum;
    }

    /** Removes all use. */
    void clear() {
        phases.forEach(phase -> phase.use.clear());
    }

    /** Adds use of one moment, which may be past. */
    void add(double amount, long at) {
        phaseAt(at).use.add(amount, at);
    }

    /** Adds use that is spread evenly over a span of time; what has expired of it is not counted. */
    void addEvenly(double amount, long from, long to) {
        if (to <= from) {
            add(amount, to);
            return;
        }
        long end = to;
        for (Phase phase : phases) {
            long start = Math.max(from, phase.from);
            if (start < end) {
                phase.use.addEvenly(amount * (end - start) / (to - from), start, end);
                end = start;
            }
        }
    }

    /** Removes use that was added for a moment; where less is left of that moment, use of the time before it. */
    void remove(double amount, long at) {
        double remaining = amount;
        for (Phase phase : phases) {
            if (phase.from <= at && remaining > 0) {
                remaining -= phase.use.remove(remaining, at);
            }
        }
    }

    /** Returns after how many milliseconds an amount of the use of some windows has expired, or all if there is less. */
    static long millisUntilExpired(List<LimitedUsageWindow> windows, double amount, long now) {
        UsageWindow newest = windows.get(0).phases.getFirst().use;
        double expired = 0;
        long slice = newest.oldest();
        while (slice < newest.newest()) {
            for (LimitedUsageWindow window : windows) {
                expired += window.amountOf(slice);
            }
            if (expired >= amount) {
                break;
            }
            slice++;
        }
        return newest.millisUntilSliceExpired(slice, now);
    }

    private double amountOf(long slice) {
        double sum = 0;
        for (Phase phase : phases) {
            sum += phase.use.amountOf(slice) * phase.share(limit());
        }
        return sum;
    }

    private Phase phaseAt(long at) {
        return phases.stream().filter(phase -> phase.from <= at).findFirst().orElse(phases.getLast());
    }

    /**
     * Holds the use under one limit.
     *
     * @param from when the limit came into force, in milliseconds.
     * @param limit the limit.
     * @param use the use that was started from then on and before the next limit.
     */
    private record Phase(long from, double limit, UsageWindow use) {
        /** Returns the share of the use that counts under the present limit. */
        double share(double presentLimit) {
            return Math.min(1, presentLimit / limit);
        }
    }
}
