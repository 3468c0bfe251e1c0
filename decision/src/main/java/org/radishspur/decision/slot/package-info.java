/**
 * Grants slots at upstreams to the requests of many entries: the scheduler, its requests, replies and reports, and the
 * choice of a scheduler by an entry. An entry is a process that accepts callers' requests and sends them to upstreams.
 * The package accesses no clock, network or file.
 */
package org.radishspur.decision.slot;
