package org.radishspur.node.fleet;

import java.util.Collection;

/**
 * Sends messages to other processes. A message to an address without a connection is dropped: whoever sends one repeats it
 * if it matters.
 */
public interface FleetSender {
    /**
     * Sends a message.
     *
     * @param address the address of the receiver.
     * @param message the message.
     */
    void send(String address, FleetMessage message);

    /**
     * Sends one message to many, which is encoded only once.
     *
     * @param addresses the addresses of the receivers.
     * @param message the message.
     */
    void send(Collection<String> addresses, FleetMessage message);

    /**
     * Watches the connection to one address closely, in place of the one before, even while nothing is sent over it.
     *
     * @param address the address; an empty text for none.
     */
    void attend(String address);

    /**
     * Counts the connections that were made to an address, so that a sender of changes knows when to start over.
     *
     * @param address the address.
     * @return the number; 0 where there is no connection now.
     */
    int connection(String address);
}
