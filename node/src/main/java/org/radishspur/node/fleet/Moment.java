package org.radishspur.node.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Holds one moment on two clocks.
 *
 * <p>Guards against a suspended host: the monotonic clock stands still meanwhile while the time of day goes on, and the
 * time of day may be set back while the monotonic clock goes on. An age is the larger of both differences, so that only
 * both failing at once, in opposite ways, could hide it.
 *
 * @param monotonicMillis the monotonic clock in milliseconds.
 * @param wallMillis the time of day in milliseconds since the epoch.
 */
public record Moment(long monotonicMillis, long wallMillis) {
    /** A moment so long ago that nothing from then is fresh. */
    public static final Moment LONG_AGO = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

    /**
     * Reads both clocks.
     *
     * @return the present moment.
     */
    public static Moment now() {
        return new Moment(steadyNow(), System.currentTimeMillis());
    }

    /**
     * Reads the monotonic clock alone.
     *
     * @return the present time in milliseconds.
     */
    public static long steadyNow() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Returns how old an earlier moment is at this one.
     *
     * @param earlier the earlier moment.
     * @return the age in milliseconds, never negative.
     */
    public long since(Moment earlier) {
        long steady = monotonicMillis - earlier.monotonicMillis;
        long wall = wallMillis - earlier.wallMillis;
        return Math.max(0, Math.max(steady, wall));
    }
}
