package org.radishspur.node.upstream;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpObject;

/**
 * One request to an upstream and its response. The holder writes the request and controls how fast the response is
 * read.
 */
public interface UpstreamExchange {
    /**
     * Writes a part of the request.
     *
     * @param part the head, a part of the body, or a full request; released once written.
     * @return a future that completes when the part has been written to the socket.
     */
    ChannelFuture write(HttpObject part);

    /** Requests one more read of the response; nothing is read otherwise. */
    void read();

    /** Notes that no read is requested for a while, so that silence until the next read shows nothing. */
    default void pauseReading() {}

    /**
     * Returns whether the exchange is on a direct connection, and not on one through another host.
     *
     * @return whether it is.
     */
    default boolean isDirect() {
        return true;
    }

    /**
     * Returns a name of the connection and of the exchange on it, by which a log distinguishes the sendings of one request.
     *
     * @return the number of the connection at its traffic thread and that of the exchange on it, as in {@code 7.3}; the
     *     number of a relayed connection begins with an {@code r}.
     */
    default String name() {
        return "";
    }

    /**
     * Returns whether all bytes of the request have been passed to the socket of the connection.
     *
     * @return whether none of them waits to be written.
     */
    default boolean isRequestWritten() {
        return true;
    }

    /** Aborts the exchange and closes the connection; the listener is not invoked again. */
    void abort();

    /**
     * Starts exchanges with upstreams.
     */
    interface Factory {
        /**
         * Starts an exchange.
         *
         * @param call what the exchange is for.
         * @param listener the listener of the exchange.
         * @return the exchange, to which nothing may be written before {@link UpstreamListener#onConnected()}.
         */
        UpstreamExchange open(UpstreamCall call, UpstreamListener listener);
    }
}
