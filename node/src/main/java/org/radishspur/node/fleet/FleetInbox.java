package org.radishspur.node.fleet;

import io.netty.buffer.ByteBuf;

/**
 * Receives what other processes say, on a thread of the transport.
 */
public interface FleetInbox {
    /**
     * Takes a message.
     *
     * @param sender where an answer goes.
     * @param message the message.
     */
    void onMessage(Sender sender, FleetMessage message);

    /**
     * Learns that a connection is gone.
     *
     * @param sender the other end, the same object as with its messages.
     */
    default void onClosed(Sender sender) {}

    /**
     * Answers over the connection that a message came on.
     */
    interface Sender {
        /**
         * Sends a message, which is lost if the connection is gone.
         *
         * @param message the message.
         */
        void send(FleetMessage message);

        /**
         * Sends a message that goes to many receivers and was encoded once.
         *
         * @param encoded the bytes, which stay the caller's.
         */
        void sendShared(ByteBuf encoded);

        /**
         * Names the other end.
         *
         * @return the address that was connected to, or for an accepted connection a name that no other one has.
         */
        String peer();

        /**
         * Returns how long nothing has come over the connection.
         *
         * @return the time in milliseconds.
         */
        long silentMillis();
    }
}
