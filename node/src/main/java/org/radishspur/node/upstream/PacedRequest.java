package org.radishspur.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;

/**
 * Writes a request piece by piece, each piece once the upstream has taken the one before: the socket copies what it is
 * given, and an upstream that reads slowly would cause a second copy of a large body.
 *
 * <p>If the response is complete before the body is, the connection is closed, and so no other bytes stand where the rest
 * is due.
 */
public final class PacedRequest {
    /** The maximum size of a piece, in bytes; a smaller request is written as a whole. */
    private static final int PIECE_BYTES = 64 << 10;

    private final UpstreamExchange exchange;
    private final ByteBuf body;

    private PacedRequest(UpstreamExchange exchange, ByteBuf body) {
        this.exchange = exchange;
        this.body = body;
    }

    /**
     * Writes a request.
     *
     * @param exchange the exchange, on which nothing has been written.
     * @param request the request with the length of its body, released once it is written or the connection is closed.
     */
    public static void write(UpstreamExchange exchange, FullHttpRequest request) {
        if (request.content().readableBytes() <= PIECE_BYTES) {
            exchange.write(request);
            return;
        }
        exchange.write(
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers()));
        new PacedRequest(exchange, request.content()).writeNext();
    }

    private void writeNext() {
        if (body.readableBytes() <= PIECE_BYTES) {
            exchange.write(new DefaultLastHttpContent(body));
            return;
        }
        ByteBuf piece = body.readRetainedSlice(PIECE_BYTES);
        exchange.write(new DefaultHttpContent(piece)).addListener(this::onWritten);
    }

    private void onWritten(Future<? super Void> written) {
        if (written.isSuccess()) {
            writeNext();
        } else {
            body.release();
        }
    }
}
