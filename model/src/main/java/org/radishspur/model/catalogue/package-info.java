/**
 * Describes the catalogue, a versioned document with routes, pools and organisations that operators replace as a whole,
 * and the upstreams that a host list reports for its pools.
 */
package org.radishspur.model.catalogue;
