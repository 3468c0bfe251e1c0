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
 * Serves one caller's connection, one request after another.
 */
final class CallerHandler extends ChannelInboundHandlerAdapter {
    private static final long MAX_DISCARDED_BYTES = 4L << 20;

    private final CallerServices services;
    private final Deque<HttpObject> pendingObjects = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private Exchange exchange;
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
     * Asks for the next part of the caller's requests. Parts come one by one and only when asked for, so that a caller
     * can't fill the memory; asking twice is the same as asking once.
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
        exchange = new Exchange(services, this, context, request);
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

    /** Learns from the exchange that its caller has got the final answer, or never will. */
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

    /** Returns whether answers have to announce that the connection will be closed. */
    boolean closesAfterAnswer() {
        return !keepAlive || services.core().isShuttingDown();
    }

    private void rejectMalformed(Throwable cause) {
        RefusalReason reason = cause instanceof TooLongFrameException
                ? RefusalReason.HEADERS_TOO_LARGE
                : RefusalReason.MALFORMED_REQUEST;
        services.metrics().refused(reason);
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
        // A caller that stops in the middle of its request holds nothing up for good; one that waits for its answer is
        // not idle.
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
            Exchange abandoned = exchange;
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
