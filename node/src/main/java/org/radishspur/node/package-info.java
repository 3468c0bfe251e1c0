/**
 * Assembles and runs the program radishspur-node.
 *
 * <p>Only radishspur-node uses the types of this package itself; their counterparts for the platform's programs entry
 * and control are the processes in {@code node.entry} and {@code node.group}.
 */
package org.radishspur.node;
