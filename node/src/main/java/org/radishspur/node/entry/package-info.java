/**
 * The request path of the program {@code radishspur-platform entry}; its counterpart in the program radishspur-node is
 * {@code org.radishspur.node.caller}.
 *
 * <p>An entry accepts the requests of callers, sends them to upstreams and passes the responses back. The traffic
 * thread owns all state of requests; the control thread polls the control leader and passes immutable views to the
 * traffic thread.
 */
package org.radishspur.node.entry;
