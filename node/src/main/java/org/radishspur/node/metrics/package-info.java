/**
 * Counts events with Dropwizard Metrics and serves the counts.
 *
 * <p>{@link org.radishspur.node.metrics.NodeMetrics} serves the program radishspur-node, its counterparts for the
 * platform's programs entry and control are the metrics in {@code node.entry} and {@code node.group}, and only those
 * two programs use the server and the text format of this package.
 */
package org.radishspur.node.metrics;
