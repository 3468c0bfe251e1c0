package org.radishspur.model.catalogue;

/**
 * Gives one pool its part of a route's requests.
 *
 * @param pool the name of the pool.
 * @param weight the part relative to the other shares of the route.
 */
public record PoolShare(String pool, double weight) {}
