package org.radishspur.model.catalogue;

import java.util.List;
import java.util.Set;

/**
 * Describes one route of a catalogue: the requests that it matches, the pools that serve them and their limits.
 *
 * @param name the name of the route.
 * @param host the host name that requests must have.
 * @param pathPrefix the prefix that request paths must have.
 * @param kind whether requests may be retried after they may have run.
 * @param timeoutMillis the maximum time that a caller waits for the response, in milliseconds.
 * @param targetLatencyMillis the latency up to which a response has its full value, in milliseconds; 0 for no target.
 * @param maxEventGapMillis the maximum time between two events of a stream that callers accept, in milliseconds; 0 for
 *     no limit.
 * @param priority the priority of the route; 0 is the most urgent.
 * @param shares the pools that serve the route, with their weights.
 * @param maxUpstreams the maximum number of upstreams on which one request may run.
 * @param allowsAnonymous whether requests without an API key are accepted.
 * @param resumable whether another upstream may resume a broken stream.
 * @param allowedRegions the regions in which requests may be served; empty for all.
 */
public record RouteRule(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        long maxEventGapMillis,
        int priority,
        List<PoolShare> shares,
        int maxUpstreams,
        boolean allowsAnonymous,
        boolean resumable,
        Set<String> allowedRegions) {

    /** Copies the shares and the regions. */
    public RouteRule {
        shares = List.copyOf(shares);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Returns a copy of this rule with other regions.
     *
     * @param regions the regions in which requests may be served; empty for all.
     * @return the changed rule.
     */
    public RouteRule withAllowedRegions(Set<String> regions) {
        return new RouteRule(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMillis,
                targetLatencyMillis,
                maxEventGapMillis,
                priority,
                shares,
                maxUpstreams,
                allowsAnonymous,
                resumable,
                regions);
    }

    /**
     * Returns whether a request may be sent to another upstream although it may have run already.
     *
     * @return whether the request may run more than once.
     */
    public boolean isRepeatable() {
        return kind.isRepeatable(resumable);
    }

    /**
     * Chooses a pool by the weights of the shares.
     *
     * @param draw a uniformly distributed number from 0, inclusive, to 1, exclusive.
     * @return the name of the pool.
     */
    public String choosePool(double draw) {
        double total = shares.stream().mapToDouble(PoolShare::weight).sum();
        double remaining = draw * total;
        for (PoolShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.pool();
            }
        }
        return shares.get(shares.size() - 1).pool();
    }
}
