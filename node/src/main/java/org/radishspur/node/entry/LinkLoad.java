package org.radishspur.node.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Measures how much of this host's link the requests of callers use.
 *
 * <p>Each byte from a caller also goes to an upstream, so that both directions of the link carry it. Responses don't count:
 * TCP sends them as fast as their callers read, and shares the link between them. If requests exceed the link, replies of
 * schedulers and confirmations of the control leader time out behind them, and no caller is served.
 */
final class LinkLoad {
    /** The time over which bytes are counted, in milliseconds, and the parts in which they are forgotten. */
    private static final long WINDOW_MILLIS = 500;

    private static final int PARTS = 10;
    private static final long PART_MILLIS = WINDOW_MILLIS / PARTS;

    /**
     * The share of the link from which it counts as full. A link that carries nine tenths of what it can still serves all
     * callers, so that a lower share would turn away callers who may find no other entry.
     */
    private static final double FULL_SHARE = 0.95;

    /** The share below which it has room again. */
    private static final double ROOM_SHARE = 0.85;

    /**
     * The share of the link, over a second, that requests may need which are expected on new connections: what is sent on
     * a connection that was accepted can't be put off any more.
     */
    private static final double EXPECTED_SHARE = 0.2;

    /** The time after which a new connection isn't expected to bring a request at once, in milliseconds. */
    private static final long MAX_EXPECTED_MILLIS = 1_000;

    /** The weight of the newest request in the average size. */
    private static final double SIZE_WEIGHT = 0.05;

    private static final double INITIAL_REQUEST_BYTES = 2_048;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double bytesPerSecond;
    private final double bytesPerWindow;
    private final LongSupplier clock;
    private final Deque<Expected> expected = new ArrayDeque<>();
    private double requestBytes = INITIAL_REQUEST_BYTES;
    private int expectedCount;
    private final long[] bytes = new long[PARTS];
    private long latestPart;
    private boolean full;

    /**
     * Creates the load of an idle link.
     *
     * @param bytesPerSecond what the link carries in each direction, in bytes per second.
     * @param clock the monotonic clock in milliseconds.
     */
    LinkLoad(double bytesPerSecond, LongSupplier clock) {
        this.clock = clock;
        this.bytesPerSecond = bytesPerSecond;
        bytesPerWindow = bytesPerSecond * WINDOW_MILLIS / MILLIS_PER_SECOND;
    }

    /** Counts bytes from a caller, and returns whether the link is full. */
    boolean add(long count) {
        long now = clock.getAsLong();
        advance(now);
        bytes[(int) (latestPart % PARTS)] += count;
        return updateFull(now);
    }

    /** Expects a request on a connection that has just been accepted. */
    Expected expectRequest() {
        Expected request = new Expected(clock.getAsLong());
        expected.addLast(request);
        expectedCount++;
        return request;
    }

    /** Records the size of the body of a request that was received, in bytes. */
    void recordRequest(long count) {
        requestBytes += SIZE_WEIGHT * (count - requestBytes);
    }

    private boolean isMuchExpected(long now) {
        while (!expected.isEmpty() && expected.peekFirst().isOver(now)) {
            expected.removeFirst().end();
        }
        return expectedCount * requestBytes > EXPECTED_SHARE * bytesPerSecond;
    }

    /** Returns whether the link carries about as much as it can, and hasn't had room since. */
    boolean isFull() {
        long now = clock.getAsLong();
        advance(now);
        return updateFull(now);
    }

    private boolean updateFull(long now) {
        long sum = 0;
        for (long part : bytes) {
            sum += part;
        }
        full = sum > bytesPerWindow * (full ? ROOM_SHARE : FULL_SHARE) || isMuchExpected(now);
        return full;
    }

    private void advance(long now) {
        long part = Math.max(latestPart, now / PART_MILLIS);
        for (long next = Math.max(latestPart + 1, part - PARTS + 1); next <= part; next++) {
            bytes[(int) (next % PARTS)] = 0;
        }
        latestPart = part;
    }

    /** A request that a new connection is expected to bring. */
    final class Expected {
        private final long since;
        private boolean ended;

        private Expected(long since) {
            this.since = since;
        }

        private boolean isOver(long now) {
            return ended || now - since > MAX_EXPECTED_MILLIS;
        }

        /** Ends the expectation, as the request was received or the connection was closed. */
        void end() {
            if (!ended) {
                ended = true;
                expectedCount--;
            }
        }
    }
}
