/**
 * The scheduler of a pool: orders the waiting requests and grants them permits for the upstreams.
 */
package org.radishspur.decision.permit;
