package org.radishspur.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.radishspur.node.upstream.UpstreamHeaders;

/**
 * Writes the one response to a request, an upstream's or an error response of this entry, and closes the connection
 * after it where the caller doesn't keep it alive or the entry is stopping.
 */
final class CallerResponse {
    private final EntryServices services;
    private final FrontConnection connection;
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private boolean headWritten;
    private boolean keepAlive = true;

    CallerResponse(
            EntryServices services, FrontConnection connection, ChannelHandlerContext context, HttpRequest request) {
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

    boolean isWritable() {
        return context.channel().isWritable();
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
        if (content.isReadable()) {
            context.write(new DefaultHttpContent(content));
        } else {
            content.release();
        }
    }

    void flush() {
        context.flush();
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
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT, isKeepAlive());
    }

    /** Writes an error response of this entry, after which the next request on the connection may start. */
    void writeError(EndReason reason, long retryAfterMillis, boolean close) {
        FullHttpResponse response = ErrorResponses.of(reason, retryAfterMillis);
        boolean keep = isKeepAlive() && !close;
        HttpUtil.setKeepAlive(response, keep);
        writeLast(response, keep);
        onWritten();
    }

    /** Closes the connection in the middle of a response, so that the caller can't take it for a complete one. */
    void abort() {
        context.close();
    }

    /** Lets the next request on the connection start. */
    void onWritten() {
        connection.onResponseWritten(context, !keepAlive);
    }

    private void writeLast(Object last, boolean keep) {
        keepAlive = keep;
        var future = context.writeAndFlush(last);
        if (!keep) {
            future.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(request) && !services.isStopping();
    }
}
