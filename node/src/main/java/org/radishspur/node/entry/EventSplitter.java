package org.radishspur.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.radishspur.node.upstream.EventBoundary;

/**
 * Splits the bytes of an event stream into complete events and a partial one.
 *
 * <p>A partial event must not reach the caller: if the connection is lost, another upstream resumes the stream with a
 * complete event.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private final ByteBuf partial = Unpooled.buffer();
    private final EventBoundary boundary = new EventBoundary();
    private int lineOffset;
    private long lastEventId;
    private long pendingEventId = -1;
    private long eventCount;

    /**
     * Creates a splitter.
     *
     * @param lastEventId the identifier of the last event that the caller has received, or a negative number.
     */
    EventSplitter(long lastEventId) {
        this.lastEventId = lastEventId;
    }

    /**
     * Appends bytes of the stream and returns the events that they complete.
     *
     * @param content the bytes, whose reader index stays and which are not released.
     * @return the bytes of complete events, empty where there are none; the caller of this method releases them.
     */
    ByteBuf split(ByteBuf content) {
        int scannedBytes = partial.readableBytes();
        partial.writeBytes(content, content.readerIndex(), content.readableBytes());
        int end = scanEvents(partial.readerIndex() + scannedBytes);
        if (end == partial.readerIndex()) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf complete = Unpooled.copiedBuffer(partial.slice(partial.readerIndex(), end - partial.readerIndex()));
        lineOffset -= end - partial.readerIndex();
        partial.readerIndex(end);
        partial.discardSomeReadBytes();
        return complete;
    }

    /** Removes and returns the bytes after the last complete event, at the end of the stream. */
    ByteBuf takeRest() {
        ByteBuf remainder = Unpooled.copiedBuffer(partial);
        discardPartial();
        return remainder;
    }

    /** Returns whether the stream so far ends inside an event, so that it isn't complete. */
    boolean isInsideEvent() {
        return boundary.isInsideEvent();
    }

    /** Returns the number of bytes after the last complete event. */
    int restBytes() {
        return partial.readableBytes();
    }

    /** Discards the partial event of a broken stream. */
    void discardPartial() {
        partial.clear();
        boundary.discardEvent();
        lineOffset = 0;
        pendingEventId = -1;
    }

    /** Returns the highest identifier of a complete event, or the initial one. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns how many complete events were received. */
    long eventCount() {
        return eventCount;
    }

    /** Scans the bytes from an index on, and returns the index after the last complete event. */
    private int scanEvents(int from) {
        int end = partial.readerIndex();
        for (int index = from; index < partial.writerIndex(); index++) {
            switch (boundary.add(partial.getByte(index))) {
                case LINE_END -> {
                    readEventId(partial.readerIndex() + lineOffset, index);
                    lineOffset = index + 1 - partial.readerIndex();
                }
                case EVENT_END -> {
                    eventCount++;
                    lastEventId = Math.max(lastEventId, pendingEventId);
                    end = index + 1;
                    lineOffset = end - partial.readerIndex();
                }
                case AFTER_LINE_END -> {
                    end = index == end ? index + 1 : end;
                    lineOffset = index + 1 - partial.readerIndex();
                }
                default -> {}
            }
        }
        return end;
    }

    /** Records the identifier of the current event if a line contains one. */
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
