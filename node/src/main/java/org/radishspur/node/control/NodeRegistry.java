package org.radishspur.node.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage.NodeLine;
import org.radishspur.node.peer.PeerMessage.NodeState;
import org.radishspur.node.peer.PeerMessage.NodeStatus;

/**
 * Remembers for the control leader which nodes live and what they have in force.
 */
final class NodeRegistry {
    private final long lostMillis;
    private final Map<String, Known> nodes = new TreeMap<>();
    private ClusterView view = ClusterView.NONE;

    NodeRegistry(long lostMillis) {
        this.lostMillis = lostMillis;
    }

    void received(NodeStatus status, long now) {
        Known known = nodes.get(status.node());
        // Guards against a frozen process that wakes after its successor has started: the older run is ignored.
        if (known == null || status.incarnation() >= known.status.incarnation()) {
            nodes.put(status.node(), new Known(status, now));
        }
    }

    boolean lives(String node, long incarnation, long now) {
        Known known = nodes.get(node);
        return known != null && known.status.incarnation() == incarnation && now - known.receivedAt < lostMillis;
    }

    /** Makes a new view if the set of living entry nodes has changed. */
    ClusterView view(long term, long now) {
        List<ClusterView.Member> members = new ArrayList<>();
        for (Known known : nodes.values()) {
            NodeStatus status = known.status;
            if (status.entry() && !status.shuttingDown() && now - known.receivedAt < lostMillis) {
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

    Collection<NodeStatus> living(long now) {
        return nodes.values().stream()
                .filter(known -> now - known.receivedAt < lostMillis)
                .map(known -> known.status)
                .toList();
    }

    List<NodeLine> lines(long now) {
        List<NodeLine> lines = new ArrayList<>();
        for (Known known : nodes.values()) {
            NodeStatus status = known.status;
            NodeState living = status.shuttingDown() ? NodeState.SHUTTING_DOWN : NodeState.LIVE;
            lines.add(new NodeLine(
                    status.node(),
                    now - known.receivedAt < lostMillis ? living : NodeState.LOST,
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
     * @param receivedAt when it said so, by the monotonic clock.
     */
    private record Known(NodeStatus status, long receivedAt) {}
}
