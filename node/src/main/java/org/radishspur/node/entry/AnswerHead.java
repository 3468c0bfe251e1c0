package org.radishspur.node.entry;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.radishspur.model.codec.Json;

/**
 * Makes the answers that the system gives by itself.
 */
final class AnswerHead {
    private static final double MILLIS_PER_SECOND = 1_000;

    private AnswerHead() {}

    /** Makes an answer with a reason, and with the time to come back where that makes sense. */
    static FullHttpResponse of(EndReason reason, long retryAfterMillis) {
        byte[] body = Json.INSTANCE
                .write(new Problem(reason.code(), reason.isNotRun()))
                .getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reason.status()), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        if (retryAfterMillis > 0) {
            String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        HttpUtil.setContentLength(response, body.length);
        return response;
    }

    /** Answers bytes that are no request and closes the connection. */
    static void malformed(ChannelHandlerContext context) {
        FullHttpResponse response = of(EndReason.MALFORMED, 0);
        HttpUtil.setKeepAlive(response, false);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Holds the body of such an answer.
     *
     * @param reason the code of the reason.
     * @param notRun whether the request provably has not run.
     */
    private record Problem(String reason, boolean notRun) {}
}
