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
 * Remembers for the control leader which nodes live and what they have in force.
 */
final class NodeRegistry {
    private final long lostTimeoutMillis;
    private final Map<String, LatestStatus> nodes = new TreeMap<>();
    private ClusterView view = ClusterView.NONE;

    NodeRegistry(long lostMillis) {
        this.lostTimeoutMillis = lostMillis;
    }

    void onStatus(NodeStatus status, long now) {
        LatestStatus known = nodes.get(status.node());
        // Guards against a frozen process that wakes after its successor has started: the older run is ignored.
        if (known == null || status.incarnation() >= known.status.incarnation()) {
            nodes.put(status.node(), new LatestStatus(status, now));
        }
    }

    boolean isLive(String node, long incarnation, long now) {
        LatestStatus known = nodes.get(node);
        return known != null
                && known.status.incarnation() == incarnation
                && now - known.receivedAtMillis < lostTimeoutMillis;
    }

    /** Makes a new view if the set of living entry nodes has changed. */
    ClusterView view(long term, long now) {
        List<ClusterView.Member> members = new ArrayList<>();
        for (LatestStatus known : nodes.values()) {
            NodeStatus status = known.status;
            if (status.entry() && !status.shuttingDown() && now - known.receivedAtMillis < lostTimeoutMillis) {
                members.add(new ClusterView.Member(status.node(), status.incarnation()));
            }
        }
        if (view.term() != term || !view.entries().equals(members)) {
            view = new ClusterView(term, view.term() == term ? view.number() + 1 : 1, members);
        }
        return view;
    }

    /** Starts anew in a new term, in which nothing has been heard yet. */
    void reset() {
        nodes.clear();
    }

    Collection<NodeStatus> liveNodes(long now) {
        return nodes.values().stream()
                .filter(known -> now - known.receivedAtMillis < lostTimeoutMillis)
                .map(known -> known.status)
                .toList();
    }

    List<NodeSummary> summaries(long now) {
        List<NodeSummary> lines = new ArrayList<>();
        for (LatestStatus known : nodes.values()) {
            NodeStatus status = known.status;
            NodeState living = status.shuttingDown() ? NodeState.SHUTTING_DOWN : NodeState.LIVE;
            lines.add(new NodeSummary(
                    status.node(),
                    now - known.receivedAtMillis < lostTimeoutMillis ? living : NodeState.LOST,
                    status.failureDomain(),
                    status.revisionInForce(),
                    status.replica()));
        }
        return lines;
    }

    /**
     * Remembers the latest word of a node.
     *
     * @param status what the node said.
     * @param receivedAtMillis when it said so, by the monotonic clock.
     */
    private record LatestStatus(NodeStatus status, long receivedAtMillis) {}
}
