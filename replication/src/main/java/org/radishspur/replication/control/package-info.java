/**
 * Runs one control replica, which connects the consensus core to the network, the disk and the state machine.
 */
package org.radishspur.replication.control;
