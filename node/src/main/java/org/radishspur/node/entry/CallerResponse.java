package org.radishspur.node.entry;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.node.upstream.UpstreamHeaders;

/**
 * Writes the one response to a request, an upstream's or an error response of this entry, and closes the connection
 * after it where the caller doesn't keep it alive or the entry is stopping.
 */
final class CallerResponse {
    /** The time that a caller has at least to take the end of a response, in milliseconds. */
    private static final long MIN_TAKE_MILLIS = 200;

    private final EntryServices services;
    private final FrontConnection connection;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final boolean boundsBacklog;
    private final CallerBacklog backlog;
    private ByteBuf gathered = Unpooled.EMPTY_BUFFER;
    private boolean gatheredIsCopy;
    private ChannelFuture lastWrite;
    private boolean headWritten;
    private boolean keepAlive = true;

    CallerResponse(
            EntryServices services,
            FrontConnection connection,
            ChannelHandlerContext context,
            HttpRequest request,
            Runnable onTaken) {
        this.boundsBacklog = services.heldBytes().isLimited();
        this.backlog = new CallerBacklog(services.heldBytes(), onTaken);
        this.services = services;
        this.connection = connection;
        this.context = context;
        this.request = request;
    }

    /** Writes the interim response 100, after which the caller sends its body. */
    void writeContinue() {
        context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    boolean isHeadWritten() {
        return headWritten;
    }

    /** Returns whether the caller is connected; the request is notified of a disconnect slightly later. */
    boolean isOpen() {
        return context.channel().isActive();
    }

    /** Returns whether more of the response may be read from its upstream. */
    boolean isWritable() {
        return boundsBacklog ? backlog.mayGrow() : context.channel().isWritable();
    }

    /** Stops reading the connection of the caller. */
    void stopReading() {
        context.channel().config().setAutoRead(false);
    }

    /** Reads the connection of the caller again. */
    void resumeReading() {
        context.channel().config().setAutoRead(true);
    }

    /** Writes the head of the upstream's response, unless one has been written. */
    void writeHead(HttpResponse upstreamHead, boolean keepLength) {
        if (headWritten) {
            return;
        }
        headWritten = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, upstreamHead.status());
        UpstreamHeaders.INSTANCE.copyEndToEnd(upstreamHead.headers(), response.headers());
        if (!keepLength || !HttpUtil.isContentLengthSet(response)) {
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        HttpUtil.setKeepAlive(response, isKeepAlive());
        context.write(response);
    }

    /** Writes a part of the body, which is sent at the next flush. */
    void writeContent(ByteBuf content) {
        if (!content.isReadable()) {
            content.release();
        } else if (boundsBacklog) {
            gather(content);
        } else {
            context.write(new DefaultHttpContent(content));
        }
    }

    /**
     * Puts the parts between two flushes together, as each part that waits takes memory of its own. What waits is copied,
     * as a part may keep the larger buffer that it was read into.
     */
    private void gather(ByteBuf content) {
        if (!gathered.isReadable() && backlog.isEmpty()) {
            gathered = content;
            gatheredIsCopy = false;
            return;
        }
        if (!gatheredIsCopy) {
            ByteBuf first = gathered;
            gathered = context.alloc().buffer(first.readableBytes() + content.readableBytes());
            gathered.writeBytes(first);
            gatheredIsCopy = true;
            first.release();
        }
        gathered.writeBytes(content);
        content.release();
    }

    private void writeGathered() {
        if (gathered.isReadable()) {
            int bytes = gathered.readableBytes();
            ByteBuf written = gathered;
            gathered = Unpooled.EMPTY_BUFFER;
            gatheredIsCopy = false;
            backlog.onWritten(bytes, context.write(new DefaultHttpContent(written)));
        }
    }

    void flush() {
        writeGathered();
        context.flush();
        backlog.onFlushed();
    }

    /** Writes the complete response of an upstream. */
    void writeFull(HttpResponse upstreamHead, ByteBuf content) {
        headWritten = true;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, upstreamHead.status(), content);
        UpstreamHeaders.INSTANCE.copyEndToEnd(upstreamHead.headers(), response.headers());
        HttpUtil.setContentLength(response, content.readableBytes());
        HttpUtil.setKeepAlive(response, isKeepAlive());
        writeLast(response, isKeepAlive());
    }

    /** Ends a response that was written in parts. */
    void writeEnd() {
        writeGathered();
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT, isKeepAlive());
    }

    /** Writes an error response of this entry. */
    void writeError(EndReason reason, long retryAfterMillis, boolean close) {
        FullHttpResponse response = ErrorResponses.of(reason, retryAfterMillis);
        boolean keep = isKeepAlive() && !close;
        HttpUtil.setKeepAlive(response, keep);
        writeLast(response, keep);
    }

    /** Closes the connection in the middle of a response, so that the caller can't take it for a complete one. */
    void abort() {
        context.close();
    }

    /**
     * Lets the next request on the connection start; where what is held is bounded, once the caller has taken the response.
     * Until then the response counts as a request in progress, and the connection is closed at the deadline.
     *
     * @param remainingMillis the time until the deadline, in milliseconds.
     */
    void end(long remainingMillis) {
        backlog.endExemption();
        if (!boundsBacklog || lastWrite.isDone()) {
            connection.onResponseWritten(context, !keepAlive);
            return;
        }
        services.requestStarted();
        ScheduledFuture<?> timeout = services.loop()
                .schedule(this::onDeadline, Math.max(remainingMillis, MIN_TAKE_MILLIS), TimeUnit.MILLISECONDS);
        lastWrite.addListener(written -> {
            timeout.cancel(false);
            services.requestEnded();
            if (written.isSuccess()) {
                connection.onResponseWritten(context, !keepAlive);
            }
        });
    }

    private void onDeadline() {
        services.metrics().countUnread();
        context.close();
    }

    private void writeLast(HttpContent last, boolean keep) {
        keepAlive = keep;
        int bytes = last.content().readableBytes();
        lastWrite = context.writeAndFlush(last);
        if (!keep) {
            lastWrite.addListener(ChannelFutureListener.CLOSE);
        }
        if (boundsBacklog) {
            backlog.onWritten(bytes, lastWrite);
            backlog.onFlushed();
        }
    }

    /** Discards what was not written, at the end of a request whose response isn't completed. */
    void discardGathered() {
        gathered.release();
        gathered = Unpooled.EMPTY_BUFFER;
        gatheredIsCopy = false;
    }

    private boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(request) && !services.isStopping();
    }
}
