package org.radishspur.node.upstream;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpObject;

/**
 * Lets the holder of an exchange write its request and pace its answer.
 */
public interface UpstreamExchange {
    /**
     * Writes a part of the request.
     *
     * @param part the part.
     * @return tells when the part has gone out.
     */
    ChannelFuture write(HttpObject part);

    /** Asks for more of the answer. */
    void read();

    /**
     * Drops the answer whose head has just come and waits for the next one, after which the connection is closed.
     *
     * <p>Guards against an upstream that answers a request twice: the second copy stands where the next answer on the
     * connection is due, and must not reach the caller of that one.
     */
    void skipResponse();

    /** Gives the exchange up and closes the connection; the listener receives nothing more. */
    void abort();

    /**
     * Begins exchanges with upstreams.
     */
    interface Factory {
        /**
         * Begins an exchange.
         *
         * @param address the address of the upstream.
         * @param listener receives what happens.
         * @return the exchange, on which nothing may be written before the listener is notified of the connection.
         */
        UpstreamExchange open(String address, UpstreamListener listener);
    }
}
