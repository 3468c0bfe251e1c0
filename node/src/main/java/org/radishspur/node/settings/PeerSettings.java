package org.radishspur.node.settings;

/**
 * Holds the settings for another node of the cluster.
 *
 * @param node the name of the node.
 * @param address its peer address.
 * @param control whether it is a control node.
 */
public record PeerSettings(String node, HostPort address, boolean control) {}
