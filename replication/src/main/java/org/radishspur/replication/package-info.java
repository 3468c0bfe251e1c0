/**
 * Replicates the control state across several hosts: a replicated log, and state machines that apply its entries.
 */
package org.radishspur.replication;
