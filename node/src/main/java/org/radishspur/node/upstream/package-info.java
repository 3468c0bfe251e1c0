/**
 * The HTTP/1.1 client for upstreams, with one exchange at a time on each connection. Both programs use it:
 * radishspur-node by {@code org.radishspur.node.caller}, radishspur-platform by {@code org.radishspur.node.entry} and,
 * to read the host list, by {@code org.radishspur.node.group}.
 */
package org.radishspur.node.upstream;
