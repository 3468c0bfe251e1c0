/**
 * Runs the control replica, the view of the cluster and the pools' queues of a node on one thread, the control thread.
 *
 * <p>The program radishspur-node uses this package. Its counterparts in the platform's entry and control programs are
 * {@link org.radishspur.node.entry}, {@link org.radishspur.node.schedule} and {@link org.radishspur.node.group}, which
 * share only {@link org.radishspur.node.control.ControlLoop} and {@link org.radishspur.node.control.ReplicaRunner} with
 * it.
 */
package org.radishspur.node.control;
