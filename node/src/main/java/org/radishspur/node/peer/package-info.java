/**
 * Connects the nodes of a cluster over TCP with length-prefixed MessagePack frames, and authenticates both sides by a
 * shared key.
 *
 * <p>The program radishspur-node uses this package. Its counterpart in the platform's entry and control programs is
 * {@link org.radishspur.node.fleet}, which shares only {@link org.radishspur.node.peer.PeerCodec} with it.
 */
package org.radishspur.node.peer;
