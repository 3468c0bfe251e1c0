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
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private final ByteBuf partial = Unpooled.buffer();
    private long lastEventId;
    private long pendingEventId = -1;
    private long eventCount;

    /**
     * Creates a splitter.
     *
     * @param lastId the number of the last event that the caller has, or a negative number.
     */
    EventSplitter(long lastId) {
        this.lastEventId = lastId;
    }

    /**
     * Takes bytes and returns the whole events among all that have come.
     *
     * @param content the bytes, which are not released.
     * @return whole events, perhaps none; the receiver releases them.
     */
    ByteBuf split(ByteBuf content) {
        partial.writeBytes(content, content.readerIndex(), content.readableBytes());
        int end = scanEvents();
        if (end == partial.readerIndex()) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf whole = Unpooled.copiedBuffer(partial.slice(partial.readerIndex(), end - partial.readerIndex()));
        partial.readerIndex(end);
        partial.discardSomeReadBytes();
        return whole;
    }

    /** Returns what has come since the last whole event; the stream ends with it. */
    ByteBuf takeRest() {
        ByteBuf rest = Unpooled.copiedBuffer(partial);
        partial.clear();
        return rest;
    }

    /** Forgets the half event of a broken stream. */
    void discardPartial() {
        partial.clear();
        pendingEventId = -1;
    }

    long lastEventId() {
        return lastEventId;
    }

    long eventCount() {
        return eventCount;
    }

    private int scanEvents() {
        int end = partial.readerIndex();
        int lineStart = partial.readerIndex();
        for (int index = partial.readerIndex(); index < partial.writerIndex(); index++) {
            if (partial.getByte(index) != '\n') {
                continue;
            }
            boolean blank = index == lineStart || index == lineStart + 1 && partial.getByte(lineStart) == '\r';
            if (blank) {
                eventCount++;
                lastEventId = Math.max(lastEventId, pendingEventId);
                end = index + 1;
            } else {
                readEventId(lineStart, index);
            }
            lineStart = index + 1;
        }
        return end;
    }

    private void readEventId(int start, int end) {
        if (end - start <= ID_FIELD.length) {
            return;
        }
        for (int offset = 0; offset < ID_FIELD.length; offset++) {
            if (partial.getByte(start + offset) != ID_FIELD[offset]) {
                return;
            }
        }
        long number = 0;
        for (int index = start + ID_FIELD.length; index < end; index++) {
            byte digit = partial.getByte(index);
            if (digit >= '0' && digit <= '9') {
                number = number * 10 + digit - '0';
            }
        }
        pendingEventId = number;
    }
}
