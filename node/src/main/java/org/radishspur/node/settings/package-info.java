/**
 * Holds the settings of processes, and reads and checks those of a node.
 *
 * <p>{@link org.radishspur.node.settings.NodeSettings} and its reader serve the program radishspur-node, and their
 * counterpart {@link org.radishspur.node.settings.PlatformProcessSettings}, which the platform module reads, serves the
 * platform's programs entry and control.
 */
package org.radishspur.node.settings;
