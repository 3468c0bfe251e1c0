package org.radishspur.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives what happens on one exchange with an upstream, on the traffic thread of the exchange.
 */
public interface UpstreamListener {
    /** Learns that the connection is there and that the request may be written. */
    void onConnected();

    /** Learns that no connection could be made, so that no byte can have arrived. */
    void onConnectFailed();

    /**
     * Takes the head of the answer.
     *
     * @param response the head.
     */
    void onHead(HttpResponse response);

    /**
     * Takes a part of the body.
     *
     * @param content the part, which the listener has to release.
     */
    void onContent(ByteBuf content);

    /** Learns that all that has arrived so far was passed on. */
    void onPause();

    /** Learns that the answer is whole. */
    void onEnd();

    /**
     * Learns that the connection broke before the answer was whole.
     *
     * @param cause what broke it.
     */
    void onBroken(Throwable cause);
}
