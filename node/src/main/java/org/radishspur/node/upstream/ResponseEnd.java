package org.radishspur.node.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * How the end of a response is determined.
 */
public enum ResponseEnd {
    /** By the response itself: its length, its last chunk, or a status or method without a body. */
    STATED,
    /** Only by the close of the connection, which an upstream that ends in the middle of a response causes as well. */
    CONNECTION_CLOSED;

    /**
     * Returns how the end of a response is determined.
     *
     * @param method the method of the request.
     * @param response the head of the response.
     * @return the way.
     */
    static ResponseEnd of(HttpMethod method, HttpResponse response) {
        int status = response.status().code();
        boolean bodiless = HttpMethod.HEAD.equals(method)
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
        boolean framed = HttpUtil.isTransferEncodingChunked(response)
                || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        return bodiless || framed ? STATED : CONNECTION_CLOSED;
    }
}
