/**
 * What entries and control hosts say to each other where neither is told the others' names: they find each other from a
 * few addresses, follow the control leader, and share what they have in progress.
 */
package org.radishspur.node.fleet;
