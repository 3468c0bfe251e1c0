package org.radishspur.node.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Reads the head of one response from the bytes received so far, and checks each line as soon as it is complete: a request
 * must not wait for the rest of a head that can't become one.
 */
public final class HeadReader {
    /** The maximum size of a head, in bytes; more than the decoder behind this takes. */
    private static final int MAX_BYTES = 16 << 10;

    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';

    private int checkedBytes;
    private int scannedBytes;
    private boolean complete;

    /**
     * Returns whether the end of the head has come.
     *
     * @return whether it has.
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns whether the first line of the head is complete, and its end hasn't come.
     *
     * @return whether the head has begun.
     */
    public boolean isBegun() {
        return checkedBytes > 0 && !complete;
    }

    /**
     * Checks the lines that have come since the last call.
     *
     * @param bytes all bytes since the beginning of the head, of which none is consumed.
     * @return what is wrong with the head, if anything is.
     */
    public Optional<MessageFault> read(ByteBuf bytes) {
        Optional<MessageFault> fault = Optional.empty();
        while (!complete && fault.isEmpty()) {
            int start = bytes.readerIndex() + checkedBytes;
            int feed = bytes.indexOf(bytes.readerIndex() + scannedBytes, bytes.writerIndex(), LINE_FEED);
            if (feed < 0) {
                scannedBytes = bytes.readableBytes();
                return scannedBytes > MAX_BYTES ? Optional.of(MessageFault.TOO_LONG) : checkBeginning(bytes, start);
            }
            fault = readLine(bytes, start, feed);
            checkedBytes = feed + 1 - bytes.readerIndex();
            scannedBytes = checkedBytes;
        }
        return checkedBytes > MAX_BYTES ? Optional.of(MessageFault.TOO_LONG) : fault;
    }

    private Optional<MessageFault> checkBeginning(ByteBuf bytes, int start) {
        return checkedBytes == 0 ? HeadLine.STATUS.checkBeginning(bytes, start, bytes.writerIndex()) : Optional.empty();
    }

    private Optional<MessageFault> readLine(ByteBuf bytes, int start, int feed) {
        int end = feed - 1;
        if (end < start || bytes.getByte(end) != CARRIAGE_RETURN) {
            return Optional.of(MessageFault.LINE_END);
        }
        boolean first = checkedBytes == 0;
        if (end == start && !first) {
            complete = true;
            return Optional.empty();
        }
        return (first ? HeadLine.STATUS : HeadLine.FIELD).check(bytes, start, end);
    }
}
