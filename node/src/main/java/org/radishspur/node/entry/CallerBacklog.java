package org.radishspur.node.entry;

import io.netty.channel.ChannelFuture;

/**
 * Counts the bytes of one response that were written and that its caller has not taken yet, and decides whether more may
 * be read from the upstream. The traffic thread owns it.
 */
final class CallerBacklog {
    /**
     * The maximum that is held for one caller so that its upstream needn't wait, in bytes. Longer responses are rare, and
     * one caller must not take much of the budget.
     */
    static final int MAX_BYTES = 512 << 10;

    /** The maximum that is held for one caller while others hold much, in bytes. */
    static final int SHORT_BYTES = 16 << 10;

    /** What a part that waits takes beside its bytes, in bytes. */
    private static final int PART_BYTES = 512;

    private final HeldBytes held;
    private final HeldBytes.Share share;
    private final Runnable onTaken;
    private ChannelFuture lastWrite;
    private long unflushed;
    private long pending;
    private long exempt = HeldBytes.READ_BYTES;

    /**
     * Creates an empty backlog.
     *
     * @param held the count of the entry.
     * @param onTaken run when the caller has taken a part.
     */
    CallerBacklog(HeldBytes held, Runnable onTaken) {
        this.held = held;
        this.share = held.share();
        this.onTaken = onTaken;
    }

    /** Records a part that was written and not flushed. */
    void onWritten(int bytes, ChannelFuture write) {
        unflushed += bytes + PART_BYTES;
        lastWrite = write;
    }

    /** Counts what a flush has left, until the caller has taken it or its connection is closed. */
    void onFlushed() {
        long bytes = unflushed;
        ChannelFuture write = lastWrite;
        unflushed = 0;
        lastWrite = null;
        if (write == null || write.isDone()) {
            // Parts are sent in order, so the earlier ones were taken as well.
            return;
        }
        add(bytes);
        write.addListener(done -> {
            add(-bytes);
            onTaken.run();
        });
    }

    private void add(long bytes) {
        pending += bytes;
        share.set(Math.max(0, pending - exempt));
    }

    /** Counts every byte from now on, as the request gives back what covered one read. */
    void endExemption() {
        exempt = 0;
        add(0);
    }

    /** Returns whether the caller has taken all that was flushed. */
    boolean isEmpty() {
        return pending == 0;
    }

    /** Returns whether more may be read for this caller. */
    boolean mayGrow() {
        if (pending == 0) {
            return true;
        }
        if (held.hasRoom(HeldBytes.Use.READ_AHEAD, HeldBytes.READ_BYTES)) {
            return pending < MAX_BYTES;
        }
        return pending < SHORT_BYTES && held.hasRoom(HeldBytes.Use.REQUEST, HeldBytes.READ_BYTES);
    }
}
