/**
 * Connects a host that has lost its own links to upstreams through another host: the server of the relaying host, and
 * the dialer of the host that is cut off. Each byte of the connection is carried in a frame, so that the end of the
 * upstream's connection can be distinguished from the loss of the relaying host.
 */
package org.radishspur.node.relay;
