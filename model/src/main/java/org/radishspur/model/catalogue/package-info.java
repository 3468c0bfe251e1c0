/**
 * The whole-document form of the operators' tables: one versioned value with routes, pools and organisations that is
 * put in force as a unit, and the upstreams that a host list reports for its pools.
 */
package org.radishspur.model.catalogue;
