package org.radishspur.node.peer;

/**
 * Receives messages from other nodes and changes of the connections to them. It is called on traffic threads.
 */
public interface PeerListener {
    /**
     * Receives a message.
     *
     * @param node the name of the sender, which has authenticated with the shared key.
     * @param incarnation the run of the sender's process.
     * @param message the message.
     */
    void onMessage(String node, long incarnation, PeerMessage message);

    /**
     * Is called after the connection to a node was established or lost.
     *
     * @param node the name of the node.
     * @param connected whether messages can be sent to the node now.
     */
    void onConnectionChanged(String node, boolean connected);
}
