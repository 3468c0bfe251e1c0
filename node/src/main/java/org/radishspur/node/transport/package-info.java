/**
 * Binds the listening sockets of servers.
 *
 * <p>Only the servers of the platform's programs entry and control use this package; the servers of the program
 * radishspur-node, in {@code node.caller}, {@code node.peer} and {@code node.admin}, bind their sockets themselves.
 */
package org.radishspur.node.transport;
