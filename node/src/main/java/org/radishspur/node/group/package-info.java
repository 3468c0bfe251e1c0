/**
 * Runs a control host: the replica of the control state and its group membership, the responses to entries, schedulers
 * and operators, the reader of the platform's host list, and the evaluation of rollouts, all on the control thread. The
 * platform's program control uses this package; its counterparts in the program radishspur-node are
 * {@code org.radishspur.node.control}, whose replica runner it shares, and {@code org.radishspur.node.admin}.
 */
package org.radishspur.node.group;
