/**
 * Connects a host that has lost its own links to upstreams through another host: the server of the host that helps, and
 * the dialer of the host that is cut off. Each byte of the connection is carried in a frame, so that the end of the
 * upstream's connection can be told from the loss of the host between.
 */
package org.radishspur.node.relay;
