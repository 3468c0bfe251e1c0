/**
 * Runs the scheduler of a control host, and holds the view of the control state and the pools, which entries use as
 * well. The platform's programs entry and control use this package; its counterpart in the program radishspur-node is
 * {@code org.radishspur.node.control}.
 */
package org.radishspur.node.schedule;
