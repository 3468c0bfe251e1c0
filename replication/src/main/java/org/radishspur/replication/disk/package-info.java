/**
 * Stores the replicated log and its snapshots in the data folder of a host.
 */
package org.radishspur.replication.disk;
