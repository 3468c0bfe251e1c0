/**
 * Assembles and runs the program radishspur-node.
 *
 * <p>Only radishspur-node uses the types of this package itself; their counterparts for the platform's programs entry and
 * control are {@code node.entry.EntryProcess} and {@code node.group.ControlProcess}.
 */
package org.radishspur.node;
