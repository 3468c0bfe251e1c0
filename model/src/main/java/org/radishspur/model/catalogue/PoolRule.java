package org.radishspur.model.catalogue;

/**
 * Describes one pool of a catalogue and the limits of its upstreams.
 *
 * @param name the name of the pool.
 * @param maxConnections the maximum number of connections to one upstream, from all entry nodes together.
 * @param slots the maximum number of requests that an upstream runs at once, or 0 if only the host list states it.
 * @param engine whether the upstreams are model engines; if not, they are plain services.
 * @param coldStart the limit on requests to an upstream after its start.
 */
public record PoolRule(String name, int maxConnections, int slots, boolean engine, ColdStart coldStart) {
    /**
     * Creates the rule of a pool whose upstreams can take their full load immediately after a start.
     *
     * @param name the name of the pool.
     * @param maximumConnections the maximum number of connections to one upstream, from all entry nodes together.
     * @param slots the maximum number of requests that an upstream runs at once, or 0 if only the host list states it.
     * @param engine whether the upstreams are model engines; if not, they are plain services.
     */
    public PoolRule(String name, int maximumConnections, int slots, boolean engine) {
        this(name, maximumConnections, slots, engine, ColdStart.NONE);
    }

    /**
     * Returns a copy of this rule with another limit after the start of an upstream.
     *
     * @param changed the new limit.
     * @return the changed rule.
     */
    public PoolRule withColdStart(ColdStart changed) {
        return new PoolRule(name, maxConnections, slots, engine, changed);
    }
}
