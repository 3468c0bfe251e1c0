package org.radishspur.node.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.CharsetUtil;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.Refusal;

/**
 * Describes to a caller why its request was refused, as a problem document of RFC 9457.
 *
 * @param type the URN of the problem's type, which ends with its code.
 * @param title the code of the refusal's reason, as a short title.
 * @param status the HTTP status.
 * @param detail a sentence that describes the refusal to a human reader.
 * @param code the code of the refusal's reason.
 * @param run whether the request ran: {@code not-run}, {@code ran} or {@code unknown}.
 * @param retryAfterMillis how long to wait before a retry, in milliseconds, or 0 where a retry is useless.
 */
record Problem(
        String type,
        String title,
        int status,
        String detail,
        String code,
        String run,
        @JsonProperty("retry-after-millis") long retryAfterMillis) {
    private static final String MEDIA_TYPE = "application/problem+json";
    private static final long MILLIS_PER_SECOND = 1_000;

    static Problem of(Refusal refusal) {
        String code = refusal.reason().code();
        return new Problem(
                "urn:radishspur:problem:" + code,
                code,
                refusal.reason().status(),
                refusal.detail(),
                code,
                refusal.runState().code(),
                refusal.retryAfterMillis());
    }

    FullHttpResponse toResponse() {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer(Json.INSTANCE.write(this), CharsetUtil.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, MEDIA_TYPE);
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }
}
