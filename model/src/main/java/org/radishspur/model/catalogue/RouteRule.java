package org.radishspur.model.catalogue;

import java.util.List;

/**
 * Describes one route of a catalogue.
 *
 * @param name the name of the route.
 * @param host the host name that callers ask for.
 * @param pathPrefix the beginning of the paths that the route takes.
 * @param kind what may be repeated.
 * @param timeoutMillis the longest time that a caller is kept waiting, in milliseconds.
 * @param targetLatencyMillis the time within which an answer has its full value, in milliseconds; 0 for none.
 * @param maximumEventGapMillis the longest pause between two events of a stream that callers accept, in milliseconds; 0 for none.
 * @param priority the rank of the route; 0 is the most urgent.
 * @param shares the pools that serve the route.
 * @param maximumUpstreams on how many upstreams one request may run at most.
 * @param anonymous whether callers need no key.
 * @param resumable whether a broken stream may be continued by another upstream.
 */
public record RouteRule(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        long maximumEventGapMillis,
        int priority,
        List<PoolShare> shares,
        int maximumUpstreams,
        boolean anonymous,
        boolean resumable) {

    /** Copies the shares. */
    public RouteRule {
        shares = List.copyOf(shares);
    }

    /**
     * Returns whether a request may be sent again although it may have run.
     *
     * @return whether it may run more than once.
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Chooses a pool by the weights of the shares.
     *
     * @param draw a number from 0, inclusive, to 1, exclusive, that spreads requests over the shares.
     * @return the name of the pool.
     */
    public String choosePool(double draw) {
        double total = shares.stream().mapToDouble(PoolShare::weight).sum();
        double left = draw * total;
        for (PoolShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.pool();
            }
        }
        return shares.get(shares.size() - 1).pool();
    }
}
