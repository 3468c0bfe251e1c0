package org.radishspur.node.caller;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;

/**
 * Serves the requests of one caller's connection, one after the other.
 */
final class CallerHandler extends ChannelInboundHandlerAdapter {
    /** Up to this many bytes of a refused request's body are discarded, so that the connection can stay open. */
    private static final long MAX_DISCARDED_BYTES = 4L << 20;

    private final CallerServices services;
    private final Deque<HttpObject> pendingObjects = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private NodeExchange exchange;
    private boolean keepAlive = true;
    private boolean requestComplete = true;
    private boolean objectRequested;
    private boolean delivering;
    private long discardedBytes;

    CallerHandler(CallerServices services) {
        this.services = services;
    }

    /** {@inheritDoc} */
    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        requestNext();
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext source, Object message) {
        pendingObjects.addLast((HttpObject) message);
        deliverPending();
    }

    /**
     * Requests the next HTTP object from the connection. Objects are read one at a time and only on request, so that a
     * caller can't fill the memory; a second request before the object arrives has no effect.
     */
    void requestNext() {
        objectRequested = true;
        deliverPending();
    }

    private void deliverPending() {
        if (delivering) {
            return;
        }
        delivering = true;
        while (objectRequested && !pendingObjects.isEmpty() && !(exchange != null && requestComplete)) {
            objectRequested = false;
            handle(pendingObjects.removeFirst());
        }
        delivering = false;
        if (objectRequested && pendingObjects.isEmpty()) {
            context.read();
        }
    }

    private void handle(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            rejectMalformed(part.decoderResult().cause());
        } else if (part instanceof HttpRequest request) {
            begin(request);
        } else if (part instanceof HttpContent content) {
            handleContent(content);
        }
    }

    private void begin(HttpRequest request) {
        keepAlive = HttpUtil.isKeepAlive(request);
        requestComplete = false;
        exchange = new NodeExchange(services, this, context, request);
        exchange.begin();
        if (exchange != null) {
            requestNext();
        }
    }

    private void handleContent(HttpContent content) {
        requestComplete |= content instanceof LastHttpContent;
        if (exchange != null) {
            exchange.onBody(content);
            return;
        }
        discardedBytes += content.content().readableBytes();
        content.release();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            context.close();
        } else {
            requestNext();
        }
    }

    /** Is notified by the exchange that the caller has its final answer, or won't receive one. */
    void onExchangeEnded() {
        exchange = null;
        if (!keepAlive || services.core().isShuttingDown()) {
            context.flush();
            context.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            discardedBytes = 0;
            requestNext();
        }
    }

    /** Returns whether an answer has to announce that the connection is closed after it. */
    boolean closesAfterAnswer() {
        return !keepAlive || services.core().isShuttingDown();
    }

    private void rejectMalformed(Throwable cause) {
        RefusalReason reason = cause instanceof TooLongFrameException
                ? RefusalReason.HEADERS_TOO_LARGE
                : RefusalReason.MALFORMED_REQUEST;
        services.metrics().countRefused(reason);
        if (exchange != null) {
            exchange.onCallerGone();
            exchange = null;
        }
        Refusal refusal = Refusal.notRun(reason, "The request can't be read as HTTP.");
        FullHttpResponse response = Problem.of(refusal).toResponse();
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** {@inheritDoc} */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext source) {
        if (exchange != null) {
            exchange.onCallerWritable();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext source, Object event) {
        // Closes a connection that is idle between requests or in the middle of one, so that it doesn't hold resources
        // indefinitely. A caller that has sent its complete request and waits for the answer isn't idle.
        if (event instanceof IdleStateEvent && (exchange == null || !requestComplete)) {
            source.close();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext source) {
        pendingObjects.forEach(ReferenceCountUtil::release);
        pendingObjects.clear();
        if (exchange != null) {
            NodeExchange abandoned = exchange;
            exchange = null;
            abandoned.onCallerGone();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext source, Throwable cause) {
        source.close();
    }
}
