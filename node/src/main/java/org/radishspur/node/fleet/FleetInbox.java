package org.radishspur.node.fleet;

import io.netty.buffer.ByteBuf;

/**
 * Receives messages from other processes, on a transport thread.
 */
public interface FleetInbox {
    /**
     * Handles a message.
     *
     * @param sender the other end of the connection, to which a response can be sent.
     * @param message the message.
     */
    void onMessage(Sender sender, FleetMessage message);

    /**
     * Handles the loss of a connection.
     *
     * @param sender the other end, the same object as for its messages.
     */
    default void onClosed(Sender sender) {}

    /**
     * Sends messages over the connection on which a message was received.
     */
    interface Sender {
        /**
         * Sends a message, which is dropped if the connection is closed.
         *
         * @param message the message.
         */
        void send(FleetMessage message);

        /**
         * Sends an encoded message that is shared between several receivers.
         *
         * @param encoded the bytes of the message; the caller keeps its reference and releases it.
         */
        void sendShared(ByteBuf encoded);

        /**
         * Returns the name of the other end.
         *
         * @return the address of an outgoing connection, or a name unique to an accepted connection.
         */
        String peer();

        /**
         * Returns the time since something was last received over the connection.
         *
         * @return the time in milliseconds.
         */
        long silentMillis();
    }
}
