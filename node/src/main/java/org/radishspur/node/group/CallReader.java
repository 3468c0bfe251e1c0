package org.radishspur.node.group;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * Reads the calls of one connection one after the other, each with its whole body. A body is read only once there is memory for
 * it; one that is too large is read to its end without being kept, so that its sender gets the answer.
 */
final class CallReader extends ChannelInboundHandlerAdapter {
    /** The maximum time for a body, in seconds; the largest one takes five on the slowest link. */
    private static final long BODY_TIMEOUT_SECONDS = 15;

    /** The size up to which a body doesn't count, in bytes, so that small calls don't wait behind large ones. */
    private static final int SMALL_BODY_BYTES = 64 << 10;

    private static final int INITIAL_BYTES = 256;

    private final CallBudget budget;
    private final int maxBodyBytes;
    private ChannelHandlerContext context;

    /** What was received of later calls, or while the budget is exhausted; little, as nothing is read then. */
    private final Deque<Object> held = new ArrayDeque<>();

    private boolean holding;
    private boolean closed;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long takenBytes;
    private boolean tooLarge;
    private Future<?> timeout;

    /**
     * Creates the reader of a connection.
     *
     * @param budget the memory for the bodies of all connections.
     * @param maxBodyBytes the maximum size of a body.
     */
    CallReader(CallBudget budget, int maxBodyBytes) {
        this.budget = budget;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** {@inheritDoc} */
    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        held.addLast(message);
        drain();
    }

    private void drain() {
        while (!holding && !held.isEmpty()) {
            Object message = held.removeFirst();
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content) {
                add(content);
            }
        }
    }

    private void begin(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            context.close();
            return;
        }
        head = request;
        long length =
                HttpUtil.getContentLength(request, HttpUtil.isTransferEncodingChunked(request) ? maxBodyBytes : 0);
        tooLarge = length > maxBodyBytes;
        if (tooLarge) {
            continueIfExpected();
            return;
        }
        if (length <= SMALL_BODY_BYTES) {
            onTaken(0);
            return;
        }
        hold(true);
        budget.take(length, () -> onTaken(length));
    }

    private void onTaken(long length) {
        if (closed) {
            budget.release(length);
            return;
        }
        takenBytes = length;
        body = context.alloc().directBuffer((int) Math.max(INITIAL_BYTES, length), maxBodyBytes);
        timeout = context.executor().schedule((Runnable) context::close, BODY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        continueIfExpected();
        hold(false);
        drain();
    }

    private void continueIfExpected() {
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void add(HttpContent content) {
        try {
            if (head == null) {
                return;
            }
            if (content.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (!tooLarge && body.readableBytes() + content.content().readableBytes() > maxBodyBytes) {
                tooLarge = true;
                releaseBody();
                budget.release(takenBytes);
                takenBytes = 0;
            }
            if (!tooLarge) {
                body.writeBytes(content.content());
            }
            if (content instanceof LastHttpContent) {
                finish();
            }
        } finally {
            ReferenceCountUtil.release(content);
        }
    }

    private void finish() {
        HttpRequest complete = head;
        head = null;
        if (timeout != null) {
            timeout.cancel(false);
        }
        // The next call is read once this one is answered.
        hold(true);
        if (tooLarge) {
            refuse(complete);
            return;
        }
        ByteBuf whole = body;
        body = Unpooled.EMPTY_BUFFER;
        context.fireChannelRead(new DefaultFullHttpRequest(
                complete.protocolVersion(),
                complete.method(),
                complete.uri(),
                whole,
                complete.headers(),
                EmptyHttpHeaders.INSTANCE));
    }

    private void refuse(HttpRequest request) {
        ByteBuf text = Unpooled.copiedBuffer(
                "{\"error\":\"the body has more than " + maxBodyBytes + " bytes\"}", StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, text);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(response, text.readableBytes());
        HttpUtil.setKeepAlive(response, HttpUtil.isKeepAlive(request));
        context.writeAndFlush(response);
        onAnswered();
    }

    /** Returns the memory of the call that was passed on last, which is answered, and reads the next one. */
    void onAnswered() {
        long taken = takenBytes;
        takenBytes = 0;
        if (!closed) {
            hold(false);
        }
        budget.release(taken);
        if (!closed) {
            drain();
        }
    }

    private void hold(boolean hold) {
        holding = hold;
        context.channel().config().setAutoRead(!hold);
    }

    private void releaseBody() {
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        closed = true;
        held.forEach(ReferenceCountUtil::release);
        held.clear();
        if (timeout != null) {
            timeout.cancel(false);
        }
        // What a call has taken that was passed on is returned with its answer.
        if (head != null) {
            releaseBody();
            budget.release(takenBytes);
            takenBytes = 0;
        }
        context.fireChannelInactive();
    }
}
