/**
 * Accepts callers' requests over HTTP/1.1 and ends each of them exactly once, with an answer or a refusal.
 *
 * <p>The program radishspur-node uses this package; its counterpart in the platform's program entry is
 * {@code org.radishspur.node.entry}, which takes only {@link org.radishspur.node.caller.RetryBudget} from here.
 */
package org.radishspur.node.caller;
