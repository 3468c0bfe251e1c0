package org.radishspur.node.entry;

/**
 * Measures how much of this host's link the requests and responses of callers use.
 *
 * <p>Each byte from or to a caller also goes to or comes from an upstream, so that each direction of the link carries the
 * sum of both. If an entry takes more than its link carries, everything waits, also what it hears from schedulers and the
 * control leader, and none of its callers is served.
 */
final class LinkLoad {
    /** The time over which bytes are counted, in milliseconds, and the parts in which they are forgotten. */
    private static final long WINDOW_MILLIS = 500;

    private static final int PARTS = 10;
    private static final long PART_MILLIS = WINDOW_MILLIS / PARTS;

    /** The share of the link from which it counts as full; the rest is for messages between hosts and for headers. */
    private static final double FULL_SHARE = 0.65;

    /** The share below which it has room again. */
    private static final double ROOM_SHARE = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double bytesPerWindow;
    private final long[] bytes = new long[PARTS];
    private long latestPart;
    private boolean full;

    /**
     * Creates the load of an idle link.
     *
     * @param bytesPerSecond what the link carries in each direction, in bytes per second.
     */
    LinkLoad(double bytesPerSecond) {
        bytesPerWindow = bytesPerSecond * WINDOW_MILLIS / MILLIS_PER_SECOND;
    }

    /** Counts bytes from or to a caller. */
    void add(long count, long now) {
        advance(now);
        bytes[(int) (latestPart % PARTS)] += count;
    }

    /** Returns whether the link carries about as much as it can, and hasn't had room since. */
    boolean isFull(long now) {
        advance(now);
        long sum = 0;
        for (long part : bytes) {
            sum += part;
        }
        full = sum > bytesPerWindow * (full ? ROOM_SHARE : FULL_SHARE);
        return full;
    }

    private void advance(long now) {
        long part = Math.max(latestPart, now / PART_MILLIS);
        for (long next = Math.max(latestPart + 1, part - PARTS + 1); next <= part; next++) {
            bytes[(int) (next % PARTS)] = 0;
        }
        latestPart = part;
    }
}
