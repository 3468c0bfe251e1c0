package org.radishspur.model.catalogue;

/**
 * Assigns a share of a route's requests to one pool.
 *
 * @param pool the name of the pool.
 * @param weight the weight of the pool, relative to the other shares of the route.
 */
public record PoolShare(String pool, double weight) {}
