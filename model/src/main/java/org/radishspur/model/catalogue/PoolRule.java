package org.radishspur.model.catalogue;

/**
 * Describes one pool of a catalogue.
 *
 * @param name the name of the pool.
 * @param maximumConnections how many connections one upstream takes from all entries together.
 * @param slots how many requests an upstream runs at once, or 0 where only the host list tells.
 * @param engine whether the upstreams are model engines; else they are plain services.
 */
public record PoolRule(String name, int maximumConnections, int slots, boolean engine) {}
