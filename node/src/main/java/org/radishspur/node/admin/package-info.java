/**
 * Serves operators' calls, and health checks and metrics, over HTTP/1.1.
 *
 * <p>The program radishspur-node uses this package; its counterpart in the platform's program control is the operator
 * server of {@code org.radishspur.node.group}.
 */
package org.radishspur.node.admin;
