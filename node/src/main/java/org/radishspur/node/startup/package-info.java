/**
 * Prepares a process of the platform's programs entry and control before it starts threads of its own.
 */
package org.radishspur.node.startup;
