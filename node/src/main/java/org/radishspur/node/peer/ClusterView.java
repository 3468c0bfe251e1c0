package org.radishspur.node.peer;

import java.util.List;

/**
 * Lists the entry nodes that live, as the control leader sees them.
 *
 * @param term the term of the leader that made the view.
 * @param number the number of the view within the term.
 * @param entries the entry nodes that live and don't shut down.
 */
public record ClusterView(long term, long number, List<Member> entries) {
    /** The view of a node that has heard of no leader yet. */
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
     * Names one run of one entry node.
     *
     * @param node the node.
     * @param incarnation which run of its process it is.
     */
    public record Member(String node, long incarnation) {}
}
