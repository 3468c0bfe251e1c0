package org.radishspur.node.entry;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.radishspur.node.log.ComponentLog;

/**
 * Handles the connection of one caller. Pipelined requests are served one at a time, in the order of their arrival.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {
    /**
     * How many parts of pipelined requests are queued while one is served; a caller that sends more is disconnected.
     */
    private static final int MAX_QUEUED_PARTS = 256;

    /** The maximum size of queued parts, in bytes, from which on the connection isn't read. */
    private static final int MAX_QUEUED_BYTES = 64 << 10;

    private final EntryServices services;
    private final FrontServer server;
    private final Deque<HttpObject> queuedParts = new ArrayDeque<>();
    private final HeldBytes.Share queuedBytes;
    private EntryExchange exchange;
    private final LinkLoad.Expected firstRequest;
    private long idleSince;
    private boolean closing;

    FrontConnection(EntryServices services, FrontServer server) {
        this.services = services;
        this.server = server;
        this.idleSince = EntryServices.now();
        this.queuedBytes = services.heldBytes().bodyShare();
        this.firstRequest = services.linkLoad().expectRequest();
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
            queue(context, part);
            if (queuedParts.size() > MAX_QUEUED_PARTS) {
                context.close();
            }
        } else {
            handle(context, part);
        }
    }

    private void queue(ChannelHandlerContext context, HttpObject part) {
        queuedParts.addLast(part);
        queuedBytes.set(queuedBytes.bytes() + bytes(part));
        if (queuedBytes.bytes() > MAX_QUEUED_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    private HttpObject takeQueued(ChannelHandlerContext context) {
        HttpObject part = queuedParts.removeFirst();
        queuedBytes.set(queuedBytes.bytes() - bytes(part));
        boolean waiting = exchange != null && exchange.isWaitingForMemory();
        if (queuedParts.isEmpty() && !waiting) {
            context.channel().config().setAutoRead(true);
        }
        return part;
    }

    private static int bytes(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private void handle(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            closing = true;
            ComponentLog.CALLER.info("A caller sent a malformed HTTP request: "
                    + part.decoderResult().cause() + '.');
            ErrorResponses.malformed(context);
            return;
        }
        if (part instanceof HttpRequest request) {
            exchange = new EntryExchange(services, this, context, request);
            exchange.begin();
        }
        if (part instanceof HttpContent content) {
            if (exchange == null) {
                content.release();
            } else {
                exchange.onBody(content);
            }
            if (content instanceof LastHttpContent) {
                firstRequest.end();
            }
        }
    }

    /** Starts the next queued request once a response has been written, unless the connection is to be closed. */
    void onResponseWritten(ChannelHandlerContext context, boolean close) {
        exchange = null;
        idleSince = EntryServices.now();
        if (close) {
            closing = true;
            return;
        }
        while (!queuedParts.isEmpty() && (exchange == null || !exchange.isBodyComplete()) && !closing) {
            handle(context, takeQueued(context));
        }
    }

    boolean isIdle() {
        return exchange == null;
    }

    /** Returns when the last response was written, by {@link EntryServices#now()}. */
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
        firstRequest.end();
        queuedParts.forEach(ReferenceCountUtil::release);
        queuedParts.clear();
        queuedBytes.close();
        if (exchange != null) {
            EntryExchange abandoned = exchange;
            exchange = null;
            abandoned.onCallerDisconnected();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            ComponentLog.CALLER.error("The connection to a caller failed.", cause);
        }
        context.close();
    }
}
