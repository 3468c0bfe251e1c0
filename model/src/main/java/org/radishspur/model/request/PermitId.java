package org.radishspur.model.request;

/**
 * Identifies one attempt to dispatch a request; it is unique across all entry nodes and their restarts.
 *
 * @param node the name of the entry node.
 * @param incarnation the number of the run of that node's process, which differs after each restart.
 * @param sequence the number of the attempt within that run.
 */
public record PermitId(String node, long incarnation, long sequence) implements Comparable<PermitId> {

    /**
     * Returns the text by which headers and logs name the attempt.
     *
     * @return the node, the incarnation and the sequence number.
     */
    public String text() {
        return node + '-' + incarnation + '-' + sequence;
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(PermitId other) {
        int byNode = node.compareTo(other.node);
        if (byNode != 0) {
            return byNode;
        }
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
    }
}
