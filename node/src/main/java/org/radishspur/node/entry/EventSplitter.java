package org.radishspur.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts the bytes of an event stream at the ends of events.
 *
 * <p>Guards against a broken stream whose last event is only half there: a resumed stream starts with a whole event, so
 * that the half one must not have reached the caller.
 */
final class EventSplitter {
    private static final byte[] ID = {'i', 'd', ':'};

    private final ByteBuf partial = Unpooled.buffer();
    private long lastId;
    private long pendingId = -1;
    private long events;

    /**
     * Creates a splitter.
     *
     * @param lastId the number of the last event that the caller has, or a negative number.
     */
    EventSplitter(long lastId) {
        this.lastId = lastId;
    }

    /**
     * Takes bytes and returns the whole events among all that have come.
     *
     * @param content the bytes, which are not released.
     * @return whole events, perhaps none; the receiver releases them.
     */
    ByteBuf take(ByteBuf content) {
        partial.writeBytes(content, content.readerIndex(), content.readableBytes());
        int end = endOfEvents();
        if (end == partial.readerIndex()) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf whole = Unpooled.copiedBuffer(partial.slice(partial.readerIndex(), end - partial.readerIndex()));
        partial.readerIndex(end);
        partial.discardSomeReadBytes();
        return whole;
    }

    /** Returns what has come since the last whole event; the stream ends with it. */
    ByteBuf rest() {
        ByteBuf rest = Unpooled.copiedBuffer(partial);
        partial.clear();
        return rest;
    }

    /** Forgets the half event of a broken stream. */
    void restart() {
        partial.clear();
        pendingId = -1;
    }

    long lastId() {
        return lastId;
    }

    long events() {
        return events;
    }

    private int endOfEvents() {
        int end = partial.readerIndex();
        int lineStart = partial.readerIndex();
        for (int index = partial.readerIndex(); index < partial.writerIndex(); index++) {
            if (partial.getByte(index) != '\n') {
                continue;
            }
            boolean blank = index == lineStart || index == lineStart + 1 && partial.getByte(lineStart) == '\r';
            if (blank) {
                events++;
                lastId = Math.max(lastId, pendingId);
                end = index + 1;
            } else {
                readId(lineStart, index);
            }
            lineStart = index + 1;
        }
        return end;
    }

    private void readId(int start, int end) {
        if (end - start <= ID.length) {
            return;
        }
        for (int offset = 0; offset < ID.length; offset++) {
            if (partial.getByte(start + offset) != ID[offset]) {
                return;
            }
        }
        long number = 0;
        for (int index = start + ID.length; index < end; index++) {
            byte digit = partial.getByte(index);
            if (digit >= '0' && digit <= '9') {
                number = number * 10 + digit - '0';
            }
        }
        pendingId = number;
    }
}
