/**
 * Messages and connections between entries and control hosts, which find each other from a few configured addresses.
 * The platform's programs entry and control use this package; its counterpart in the program radishspur-node is
 * {@code org.radishspur.node.peer}, whose framing and encoding it shares.
 */
package org.radishspur.node.fleet;
