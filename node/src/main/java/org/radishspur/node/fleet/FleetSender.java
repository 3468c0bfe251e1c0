package org.radishspur.node.fleet;

import java.util.Collection;

/**
 * Sends messages to other processes. A message to an address without a connection is dropped; the caller sends it again
 * if that is necessary.
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
     * Sends one message to several receivers and encodes it only once.
     *
     * @param addresses the addresses of the receivers.
     * @param message the message.
     */
    void send(Collection<String> addresses, FleetMessage message);

    /**
     * Sets the one address whose connection is checked as often as a connection in use, even while nothing is sent over
     * it.
     *
     * @param address the address, or empty for none.
     */
    void setWatchedAddress(String address);

    /**
     * Returns the number of connections that were made to an address so far. A new number shows to a caller that sends
     * only changes that it has to send everything again.
     *
     * @param address the address.
     * @return the number, or 0 if there is no connection at present.
     */
    int connectionCount(String address);

    /**
     * Returns when a process has last sent a message, over whichever connection. Without more, every process counts as
     * one that has just done so.
     *
     * @param address the address.
     * @return the time by the monotonic clock in milliseconds, a very early one if it never has.
     */
    default long answeredAt(String address) {
        return Long.MAX_VALUE;
    }

    /**
     * Sends a message that the other process answers at once if it runs.
     *
     * @param address the address.
     */
    default void ping(String address) {
        send(address, new FleetMessage.Ping());
    }
}
