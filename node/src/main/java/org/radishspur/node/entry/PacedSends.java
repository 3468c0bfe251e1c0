package org.radishspur.node.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Delays requests that are about to be sent while the traffic thread is behind, so that it reads from callers between them: a
 * request whose caller has left meanwhile isn't sent any more. The traffic thread owns it.
 */
final class PacedSends {
    /** How long the thread may send without reading, in milliseconds. */
    static final long MAX_UNREAD_MILLIS = 100;

    private final long checkMillis;
    private final LongSupplier clock;
    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private long readAt;

    /**
     * Creates an instance without delayed sends.
     *
     * @param checkMillis the interval of the check that calls {@link #onRead()}, in milliseconds.
     * @param clock the monotonic clock in milliseconds.
     */
    PacedSends(long checkMillis, LongSupplier clock) {
        this.checkMillis = checkMillis;
        this.clock = clock;
    }

    /** Records that the thread isn't behind. */
    void onIdle() {
        readAt = clock.getAsLong();
    }

    /** Sends now, or at a later check if the thread hasn't read for too long. */
    void send(Runnable send) {
        if (delayed.isEmpty() && clock.getAsLong() - readAt <= checkMillis + MAX_UNREAD_MILLIS) {
            send.run();
        } else {
            delayed.addLast(send);
        }
    }

    /** Records that the thread has read all that had arrived, and sends what was delayed until it has to read again. */
    void onRead() {
        readAt = clock.getAsLong();
        while (!delayed.isEmpty() && clock.getAsLong() - readAt <= MAX_UNREAD_MILLIS) {
            delayed.removeFirst().run();
        }
    }
}
