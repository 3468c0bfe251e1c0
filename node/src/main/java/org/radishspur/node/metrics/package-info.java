/**
 * Counts events with Dropwizard Metrics and serves the counts.
 *
 * <p>{@link org.radishspur.node.metrics.NodeMetrics} serves the program radishspur-node, its counterparts for the platform's
 * programs entry and control are {@code node.entry.EntryMetrics} and {@code node.group.ControlMetrics}, and only those two
 * programs use the server and the text format of this package.
 */
package org.radishspur.node.metrics;
