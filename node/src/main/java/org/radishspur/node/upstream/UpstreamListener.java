package org.radishspur.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one exchange with an upstream, on the traffic thread of the exchange.
 */
public interface UpstreamListener {
    /** Invoked when the connection is established, so that the request may be written. */
    void onConnected();

    /** Invoked when no connection could be established, so that no byte can have reached the upstream. */
    void onConnectFailed();

    /**
     * Invoked when the head of a response to another request has been received, which is discarded. An upstream may send
     * one where the response to this request is due.
     *
     * @param response the status and the headers.
     */
    default void onExtraResponse(HttpResponse response) {}

    /**
     * Invoked when the head of the response has been received.
     *
     * @param response the status and the headers.
     */
    void onResponseHead(HttpResponse response);

    /**
     * Invoked for each part of the body.
     *
     * @param content the bytes of the part, which the listener has to release.
     */
    void onContent(ByteBuf content);

    /** Invoked when a read is complete: all received data was passed on, and more is read only on request. */
    void onReadComplete();

    /**
     * Invoked when the response is complete, as far as its end shows it.
     *
     * @param end how the end was determined.
     */
    void onResponseComplete(ResponseEnd end);

    /**
     * Invoked when the connection was lost, or invalid bytes were received, before the response was complete.
     *
     * @param cause the failure.
     */
    void onConnectionLost(Throwable cause);

    /**
     * Invoked when the upstream has sent bytes that are no response, after which the connection is closed; nothing follows.
     *
     * @param cause describes the bytes.
     */
    default void onMalformedResponse(Throwable cause) {
        onConnectionLost(cause);
    }
}
