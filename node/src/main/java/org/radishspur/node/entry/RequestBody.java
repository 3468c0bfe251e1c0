package org.radishspur.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Holds the body of one request. The memory for a body of a stated length is reserved before it is read, so that bodies
 * that are read side by side can't all lack the rest. The traffic thread owns it.
 */
final class RequestBody {
    /** The maximum size of a body that mostly arrives together with its head, in bytes; reading it can't be put off. */
    static final int SMALL_BYTES = 64 << 10;

    private static final long UNKNOWN = -1;

    private final HeldBytes.Share share;
    private final int requestBytes;
    private final long statedBytes;
    private final boolean chunked;
    private final ByteBuf bytes = Unpooled.buffer(0);

    /**
     * Creates an empty body.
     *
     * @param held the count of the entry.
     * @param request the head of the request, which may state the length of the body.
     */
    RequestBody(HeldBytes held, HttpRequest request) {
        share = held.bodyShare();
        requestBytes = held.requestBytes();
        statedBytes = HttpUtil.getContentLength(request, UNKNOWN);
        chunked = HttpUtil.isTransferEncodingChunked(request);
    }

    /**
     * Reserves the memory for the body, and returns whether there was room for it.
     *
     * @param maxBytes the maximum size of a body, in bytes; no more is kept of a larger one.
     */
    boolean tryReserve(long maxBytes) {
        long reserved = Math.max(bytes.capacity(), Math.min(statedBytes, maxBytes));
        return share.trySet(requestBytes + reserved, useFor(reserved));
    }

    /** Returns whether the body is so large that reading it can be put off. */
    boolean isLarge() {
        return statedBytes > SMALL_BYTES;
    }

    /** Returns whether the body may be so large that it must not be awaited for ever. */
    boolean mayBeLarge() {
        return isLarge() || chunked;
    }

    /** Appends a part, which isn't released, and returns whether there was memory for it. */
    boolean append(ByteBuf content) {
        int capacity = capacityWith(content.readableBytes());
        long reserved = requestBytes + capacity;
        if (reserved > share.bytes() && !share.trySet(reserved, useFor(capacity))) {
            return false;
        }
        bytes.capacity(capacity);
        bytes.writeBytes(content);
        return true;
    }

    /** Returns the capacity with which more bytes fit; it grows by doubling, but not beyond the stated length. */
    private int capacityWith(int count) {
        int needed = bytes.readableBytes() + count;
        if (needed <= bytes.capacity()) {
            return bytes.capacity();
        }
        long doubled = Math.max(needed, 2L * bytes.capacity());
        return (int) (statedBytes >= needed ? Math.min(doubled, statedBytes) : doubled);
    }

    private static HeldBytes.Use useFor(long count) {
        return count > SMALL_BYTES ? HeldBytes.Use.LARGE_BODY : HeldBytes.Use.REQUEST;
    }

    /** Returns the bytes so far. */
    ByteBuf bytes() {
        return bytes;
    }

    /** Releases the bytes and gives the memory back, once. */
    void release() {
        bytes.release();
        share.close();
    }
}
