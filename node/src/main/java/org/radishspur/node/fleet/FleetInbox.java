package org.radishspur.node.fleet;

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
     * Answers over the connection that a message came on.
     */
    interface Sender {
        /**
         * Sends a message, which is lost if the connection is gone.
         *
         * @param message the message.
         */
        void send(FleetMessage message);
    }
}
