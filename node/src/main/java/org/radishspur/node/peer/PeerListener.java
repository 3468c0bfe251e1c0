package org.radishspur.node.peer;

/**
 * Receives what comes from other nodes; called on traffic threads.
 */
public interface PeerListener {
    /**
     * Takes a message.
     *
     * @param node the name of the sender, which has proved that it holds the shared key.
     * @param incarnation which run of the sender's process it is.
     * @param message the message.
     */
    void onMessage(String node, long incarnation, PeerMessage message);

    /**
     * Learns that messages to a node can be sent from now on, or no more.
     *
     * @param node the name of the node.
     * @param connected whether there is a connection.
     */
    void onConnectionChanged(String node, boolean connected);
}
