/**
 * The interfaces through which the system meets a platform's own way of speaking: how callers and upstreams put what they
 * mean into HTTP, how operators send and read tables, and how the platform lists its hosts. An implementation translates
 * names and formats and decides nothing.
 */
package org.radishspur.node.dialect;
