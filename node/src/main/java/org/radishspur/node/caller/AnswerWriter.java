package org.radishspur.node.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.radishspur.model.error.Refusal;
import org.radishspur.node.upstream.UpstreamHeaders;
import org.radishspur.replication.state.StoredAnswer;

/**
 * Writes the answer of one exchange to the caller's connection.
 */
final class AnswerWriter {
    private final CallerHandler connection;
    private final ChannelHandlerContext context;
    private final String requestId;
    private final boolean beforeHttp11;
    private boolean headWritten;

    AnswerWriter(CallerHandler connection, ChannelHandlerContext context, String requestId, boolean beforeHttp11) {
        this.connection = connection;
        this.context = context;
        this.requestId = requestId;
        this.beforeHttp11 = beforeHttp11;
    }

    boolean isHeadWritten() {
        return headWritten;
    }

    void writeHead(HttpResponse answer, String upstream) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status());
        UpstreamHeaders.INSTANCE.copyEndToEnd(answer.headers(), head.headers());
        boolean bodiless = answer.status().code() == HttpResponseStatus.NO_CONTENT.code()
                || answer.status().code() == HttpResponseStatus.NOT_MODIFIED.code();
        if (!head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) && !bodiless && !beforeHttp11) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        head.headers().set(CallerHeaders.UPSTREAM, upstream);
        addCommonHeaders(head);
        headWritten = true;
        context.write(head);
    }

    void writeContent(ByteBuf part) {
        context.write(new DefaultHttpContent(part));
    }

    void writeEnd() {
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Closes the connection in the middle of an answer. Where the answer ends with the connection, a plain close would
     * make it look complete, so that the connection is reset.
     */
    void abort() {
        if (beforeHttp11) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        context.close();
    }

    void writeRefusal(Refusal refusal) {
        writeFull(Problem.of(refusal).toResponse());
    }

    void writeStoredAnswer(StoredAnswer answer) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                Unpooled.wrappedBuffer(answer.body()));
        if (!answer.contentType().isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        response.headers().set(CallerHeaders.REPLAYED, "true");
        writeFull(response);
    }

    private void writeFull(FullHttpResponse response) {
        addCommonHeaders(response);
        headWritten = true;
        context.writeAndFlush(response);
    }

    private void addCommonHeaders(HttpResponse response) {
        response.headers().set(UpstreamHeaders.REQUEST, requestId);
        boolean lengthKnown = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || HttpUtil.isTransferEncodingChunked(response);
        if (connection.closesAfterAnswer() || beforeHttp11 && !lengthKnown) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (beforeHttp11) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }
}
