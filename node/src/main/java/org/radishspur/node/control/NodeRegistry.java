package org.radishspur.node.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage.NodeState;
import org.radishspur.node.peer.PeerMessage.NodeStatus;
import org.radishspur.node.peer.PeerMessage.NodeSummary;

/**
 * Holds the latest status of each node for the control leader, and distinguishes live nodes from lost ones.
 */
final class NodeRegistry {
    private final long lostTimeoutMillis;
    private final Map<String, LatestStatus> nodes = new TreeMap<>();
    private ClusterView view = ClusterView.NONE;

    NodeRegistry(long lostTimeoutMillis) {
        this.lostTimeoutMillis = lostTimeoutMillis;
    }

    void onStatus(NodeStatus status, long now) {
        LatestStatus latest = nodes.get(status.node());
        // Ignores an older run: a process that was suspended can resume after its successor has started.
        if (latest == null || status.incarnation() >= latest.status.incarnation()) {
            nodes.put(status.node(), new LatestStatus(status, now));
        }
    }

    boolean isLive(String node, long incarnation, long now) {
        LatestStatus latest = nodes.get(node);
        return latest != null
                && latest.status.incarnation() == incarnation
                && now - latest.receivedAtMillis < lostTimeoutMillis;
    }

    /** Returns the current view; makes a new one if the term or the set of live entry nodes has changed. */
    ClusterView view(long term, long now) {
        List<ClusterView.Member> members = new ArrayList<>();
        for (LatestStatus latest : nodes.values()) {
            NodeStatus status = latest.status;
            if (status.entry() && !status.shuttingDown() && now - latest.receivedAtMillis < lostTimeoutMillis) {
                members.add(new ClusterView.Member(status.node(), status.incarnation()));
            }
        }
        if (view.term() != term || !view.entries().equals(members)) {
            view = new ClusterView(term, view.term() == term ? view.number() + 1 : 1, members);
        }
        return view;
    }

    /** Drops all statuses at the start of a term, in which no node has reported yet. */
    void reset() {
        nodes.clear();
    }

    Collection<NodeStatus> liveNodes(long now) {
        return nodes.values().stream()
                .filter(latest -> now - latest.receivedAtMillis < lostTimeoutMillis)
                .map(latest -> latest.status)
                .toList();
    }

    List<NodeSummary> summaries(long now) {
        List<NodeSummary> summaries = new ArrayList<>();
        for (LatestStatus latest : nodes.values()) {
            NodeStatus status = latest.status;
            NodeState liveState = status.shuttingDown() ? NodeState.SHUTTING_DOWN : NodeState.LIVE;
            summaries.add(new NodeSummary(
                    status.node(),
                    now - latest.receivedAtMillis < lostTimeoutMillis ? liveState : NodeState.LOST,
                    status.failureDomain(),
                    status.revisionInForce(),
                    status.replica()));
        }
        return summaries;
    }

    /**
     * Holds the latest status of a node.
     *
     * @param status the status.
     * @param receivedAtMillis when it was received, by the monotonic clock in milliseconds.
     */
    private record LatestStatus(NodeStatus status, long receivedAtMillis) {}
}
