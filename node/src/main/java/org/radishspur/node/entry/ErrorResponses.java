package org.radishspur.node.entry;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Builds the error responses that an entry sends on its own behalf.
 */
final class ErrorResponses {
    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorResponses() {}

    /** Builds a response with a reason, and with Retry-After in decimal seconds if the time is positive. */
    static FullHttpResponse of(EndReason reason, long retryAfterMillis) {
        byte[] body = problemBody(reason).getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reason.status()), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        if (retryAfterMillis > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMillis));
        }
        HttpUtil.setContentLength(response, body.length);
        return response;
    }

    /** Responds to a malformed request and closes the connection. */
    static void malformed(ChannelHandlerContext context) {
        FullHttpResponse response = of(EndReason.MALFORMED, 0);
        HttpUtil.setKeepAlive(response, false);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Builds the JSON body by hand, as codes need no escaping. Loading the JSON mapper at the first refusal of a
     * process would delay all streams of the traffic thread.
     */
    private static String problemBody(EndReason reason) {
        return "{\"reason\":\"" + reason.code() + "\",\"notRun\":" + reason.isNotRun() + '}';
    }

    private static String seconds(long millis) {
        String fraction = String.valueOf(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
        return millis / MILLIS_PER_SECOND + "." + fraction.substring(1);
    }
}
