package org.radishspur.node.entry;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import org.radishspur.node.log.PartLog;

/**
 * Carries one caller's connection: one exchange at a time, in the order of the requests.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {
    /** How many parts of later requests are kept while one is answered; a caller that sends more is cut off. */
    private static final int MAX_QUEUED_PARTS = 256;

    private final EntryServices services;
    private final FrontServer server;
    private final Deque<HttpObject> queuedParts = new ArrayDeque<>();
    private CallerExchange exchange;
    private long idleSince;
    private boolean closing;

    FrontConnection(EntryServices services, FrontServer server) {
        this.services = services;
        this.server = server;
        this.idleSince = EntryServices.now();
    }

    /** {@inheritDoc} */
    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.add(context.channel(), this);
        context.fireChannelActive();
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(part);
        } else if (exchange != null && exchange.isBodyComplete()) {
            queuedParts.addLast(part);
            if (queuedParts.size() > MAX_QUEUED_PARTS) {
                context.close();
            }
        } else {
            handle(context, part);
        }
    }

    private void handle(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            closing = true;
            PartLog.CALLER.info(
                    "A caller sent what is no request: " + part.decoderResult().cause() + '.');
            ErrorResponses.malformed(context);
            return;
        }
        if (part instanceof HttpRequest request) {
            exchange = new CallerExchange(services, this, context, request);
            exchange.begin();
        }
        if (part instanceof HttpContent content) {
            if (exchange == null) {
                content.release();
            } else {
                exchange.onBody(content);
            }
        }
    }

    /** Learns that the answer is written; the next request on the connection may begin. */
    void onResponseWritten(ChannelHandlerContext context, boolean close) {
        exchange = null;
        idleSince = EntryServices.now();
        if (close) {
            closing = true;
            return;
        }
        while (!queuedParts.isEmpty() && (exchange == null || !exchange.isBodyComplete()) && !closing) {
            handle(context, queuedParts.removeFirst());
        }
    }

    boolean isIdle() {
        return exchange == null;
    }

    long idleSince() {
        return idleSince;
    }

    /** {@inheritDoc} */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.onCallerWritable();
        }
        context.fireChannelWritabilityChanged();
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.remove(context.channel());
        queuedParts.forEach(ReferenceCountUtil::release);
        queuedParts.clear();
        if (exchange != null) {
            CallerExchange left = exchange;
            exchange = null;
            left.onCallerDisconnected();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            PartLog.CALLER.error("A caller's connection failed.", cause);
        }
        context.close();
    }
}
