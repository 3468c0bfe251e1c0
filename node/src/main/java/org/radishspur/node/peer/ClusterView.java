package org.radishspur.node.peer;

import java.util.List;

/**
 * Lists the live entry nodes, as the control leader sees them. The owners of the pools' queues are chosen among them.
 *
 * @param term the term of the leader that made the view.
 * @param number the number of the view within the term.
 * @param entries the live entry nodes, without those that are shutting down.
 */
public record ClusterView(long term, long number, List<Member> entries) {
    /** The view of a node that has not received one from a control leader yet. */
    public static final ClusterView NONE = new ClusterView(0, 0, List.of());

    /**
     * Returns whether this view is later than another one.
     *
     * @param other the other view.
     * @return whether this one is later.
     */
    public boolean isLaterThan(ClusterView other) {
        return term > other.term || term == other.term && number > other.number;
    }

    /**
     * Identifies one run of the process of an entry node.
     *
     * @param node the name of the node.
     * @param incarnation the number of the run, which grows with each start of the process.
     */
    public record Member(String node, long incarnation) {}
}
