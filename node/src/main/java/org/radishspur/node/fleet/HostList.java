package org.radishspur.node.fleet;

import java.util.List;

import org.radishspur.model.catalogue.Upstream;

/**
 * Holds the upstreams that one complete reading of the platform's host list has returned.
 *
 * @param term the term of the control leader that read the list.
 * @param reading the number of the reading within that term.
 * @param upstreams the upstreams of all pools.
 */
public record HostList(long term, long reading, List<Upstream> upstreams) {
    /** The value before the list has been read. */
    public static final HostList NONE = new HostList(0, 0, List.of());

    /** Makes an immutable copy of the upstreams. */
    public HostList {
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Returns whether this list was read later than another one.
     *
     * @param other the other list.
     * @return whether this list is newer.
     */
    public boolean isLaterThan(HostList other) {
        return term > other.term || term == other.term && reading > other.reading;
    }
}
