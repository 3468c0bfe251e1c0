/**
 * What all servers of a process share: listening on an address.
 */
package org.radishspur.node.transport;
