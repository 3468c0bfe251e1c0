package org.radishspur.model.catalogue;

/**
 * Describes one pool of a catalogue.
 *
 * @param name the name of the pool.
 * @param maximumConnections how many connections one upstream takes from all entries together.
 * @param slots how many requests an upstream runs at once, or 0 where only the host list says so.
 * @param engine whether the upstreams are model engines; else they are plain services.
 * @param coldStart how many requests an upstream bears after its start.
 */
public record PoolRule(String name, int maximumConnections, int slots, boolean engine, ColdStart coldStart) {
    /**
     * Creates the rule of a pool whose upstreams bear their full load from the start.
     *
     * @param name the name of the pool.
     * @param maximumConnections how many connections one upstream takes from all entries together.
     * @param slots how many requests an upstream runs at once, or 0 where only the host list says so.
     * @param engine whether the upstreams are model engines; else they are plain services.
     */
    public PoolRule(String name, int maximumConnections, int slots, boolean engine) {
        this(name, maximumConnections, slots, engine, ColdStart.NONE);
    }

    /**
     * Returns this rule with another limit after the start of upstreams.
     *
     * @param changed the limit.
     * @return the changed rule.
     */
    public PoolRule withColdStart(ColdStart changed) {
        return new PoolRule(name, maximumConnections, slots, engine, changed);
    }
}
