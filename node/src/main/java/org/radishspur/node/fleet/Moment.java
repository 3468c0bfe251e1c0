package org.radishspur.node.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Holds one point in time as read from two clocks.
 *
 * <p>Guards against stale data that looks fresh. While a host is suspended, its monotonic clock may stop, but the time
 * of day advances; the time of day may be set back, but the monotonic clock advances. The age of a moment is the larger
 * of the two differences, so that it is too small only if both clocks fail at the same time.
 *
 * @param monotonicMillis the monotonic clock in milliseconds.
 * @param wallMillis the time of day in milliseconds since the epoch.
 */
public record Moment(long monotonicMillis, long wallMillis) {
    /** A moment so long ago that nothing from that time counts as fresh. */
    public static final Moment LONG_AGO = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

    /**
     * Reads both clocks.
     *
     * @return the current moment.
     */
    public static Moment now() {
        return new Moment(monotonicNow(), System.currentTimeMillis());
    }

    /**
     * Reads the monotonic clock only.
     *
     * @return its value in milliseconds.
     */
    public static long monotonicNow() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Returns the time that has passed from an earlier moment to this one.
     *
     * @param earlier the earlier moment.
     * @return the time in milliseconds, never negative.
     */
    public long millisSince(Moment earlier) {
        long monotonic = monotonicMillis - earlier.monotonicMillis;
        long wall = wallMillis - earlier.wallMillis;
        return Math.max(0, Math.max(monotonic, wall));
    }
}
