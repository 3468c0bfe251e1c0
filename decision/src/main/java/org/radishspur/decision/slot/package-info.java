/**
 * Grants slots of upstreams to the requests of many entries: what is asked, answered and reported, the scheduler that decides,
 * and how an entry chooses its scheduler. No clock, network or file.
 */
package org.radishspur.decision.slot;
