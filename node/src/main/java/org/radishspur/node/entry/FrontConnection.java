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
    private static final int MOST_QUEUED = 256;

    private final EntryServices services;
    private final FrontServer server;
    private final Deque<HttpObject> queued = new ArrayDeque<>();
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
        server.opened(context.channel(), this);
        context.fireChannelActive();
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(part);
        } else if (exchange != null && exchange.isBodyWhole()) {
            queued.addLast(part);
            if (queued.size() > MOST_QUEUED) {
                context.close();
            }
        } else {
            take(context, part);
        }
    }

    private void take(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            closing = true;
            PartLog.CALLER.info(
                    "A caller sent what is no request: " + part.decoderResult().cause() + '.');
            AnswerHead.malformed(context);
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
    void ended(ChannelHandlerContext context, boolean close) {
        exchange = null;
        idleSince = EntryServices.now();
        if (close) {
            closing = true;
            return;
        }
        while (!queued.isEmpty() && (exchange == null || !exchange.isBodyWhole()) && !closing) {
            take(context, queued.removeFirst());
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
        server.closed(context.channel());
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        if (exchange != null) {
            CallerExchange left = exchange;
            exchange = null;
            left.onCallerGone();
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
