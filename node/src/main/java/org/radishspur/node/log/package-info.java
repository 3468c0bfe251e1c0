/**
 * Writes log lines and structured events.
 *
 * <p>The program radishspur-node and the platform's programs entry and control all log lines by {@link
 * org.radishspur.node.log.ComponentLog}, so this package has no counterpart; only entry and control write structured
 * events, by {@link org.radishspur.node.log.EventLog}.
 */
package org.radishspur.node.log;
