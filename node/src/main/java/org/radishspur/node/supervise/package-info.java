/**
 * Restarts components that fail, and reports a failure that persists despite restarts, so that the process ends.
 *
 * <p>The program radishspur-node and the platform's entry and control programs all use this package; it has no
 * counterpart.
 */
package org.radishspur.node.supervise;
