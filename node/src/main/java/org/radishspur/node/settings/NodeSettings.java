package org.radishspur.node.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Holds everything that a node must be told before it starts.
 *
 * @param cluster the name of the cluster.
 * @param node the name of the node, unique within the cluster.
 * @param failureDomain the failure domain that the node stands in.
 * @param roles what the node does.
 * @param callerAddress where callers connect.
 * @param peerAddress where other nodes connect.
 * @param adminAddress where operators and the platform's balancer connect.
 * @param dataFolder the folder for the node's own state; only control nodes have one.
 * @param sharedKeyFile the file with the key that all nodes of the cluster share.
 * @param adminTokenFile the file with the token that operators show.
 * @param peers the other nodes of the cluster.
 * @param limits the sizes that bound what the node takes on.
 * @param timeouts the times of the node.
 */
public record NodeSettings(
        String cluster,
        String node,
        String failureDomain,
        Set<Role> roles,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort adminAddress,
        Optional<Path> dataFolder,
        Path sharedKeyFile,
        Path adminTokenFile,
        List<PeerSettings> peers,
        Limits limits,
        Timeouts timeouts) {

    /**
     * Returns whether the node keeps a control replica.
     *
     * @return whether it does.
     */
    public boolean isControl() {
        return roles.contains(Role.CONTROL);
    }

    /**
     * Returns whether the node takes callers' requests.
     *
     * @return whether it does.
     */
    public boolean isEntry() {
        return roles.contains(Role.ENTRY);
    }

    /**
     * Lists the names of all control nodes, this one included if it is one.
     *
     * @return the names.
     */
    public Set<String> controlNodes() {
        Set<String> names = new java.util.TreeSet<>();
        peers.stream().filter(PeerSettings::control).map(PeerSettings::node).forEach(names::add);
        if (isControl()) {
            names.add(node);
        }
        return names;
    }
}
