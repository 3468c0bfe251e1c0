package org.radishspur.node.fleet;

import java.util.List;

import org.radishspur.model.catalogue.Upstream;

/**
 * Holds what one whole reading of the platform's host list has shown.
 *
 * @param term the term of the leader that has read it.
 * @param reading the number of the reading within that term.
 * @param upstreams the upstreams of all pools.
 */
public record HostList(long term, long reading, List<Upstream> upstreams) {
    /** Stands for a list that was never read. */
    public static final HostList NONE = new HostList(0, 0, List.of());

    /** Copies the upstreams. */
    public HostList {
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Returns whether this list was read later than another one.
     *
     * @param other the other list.
     * @return whether it is newer.
     */
    public boolean isLaterThan(HostList other) {
        return term > other.term || term == other.term && reading > other.reading;
    }
}
