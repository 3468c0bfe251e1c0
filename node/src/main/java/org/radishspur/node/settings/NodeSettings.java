package org.radishspur.node.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the settings of one node of the program radishspur-node, as {@link SettingsReader} reads them from a file.
 *
 * @param cluster the name of the cluster.
 * @param node the name of the node, unique within the cluster.
 * @param failureDomain the failure domain of the node's host.
 * @param roles the roles of the node.
 * @param callerAddress the address to which callers connect.
 * @param peerAddress the address to which other nodes connect.
 * @param adminAddress the address to which operators and the platform's load balancer connect.
 * @param dataFolder the folder for the state of a control node; other nodes need none.
 * @param sharedKeyFile the file with the key that all nodes of the cluster share.
 * @param adminTokenFile the file with the token that operators authenticate with.
 * @param peers the other nodes of the cluster.
 * @param limits the limits on sizes, connections, threads and retries.
 * @param timeouts the timeouts and intervals.
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
     * Returns whether the node accepts callers' requests.
     *
     * @return whether it does.
     */
    public boolean isEntry() {
        return roles.contains(Role.ENTRY);
    }

    /**
     * Returns the names of all control nodes, including this one if it is a control node.
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
