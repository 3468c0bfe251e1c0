/**
 * Opens outgoing connections and binds the listening sockets of servers.
 *
 * <p>Of the servers, only those of the platform's programs entry and control use this package; the servers of the program
 * radishspur-node, in {@code node.caller}, {@code node.peer} and {@code node.admin}, bind their sockets themselves.
 */
package org.radishspur.node.transport;
