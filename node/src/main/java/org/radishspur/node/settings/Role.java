package org.radishspur.node.settings;

/**
 * Lists the roles of a node of radishspur-node.
 */
public enum Role {
    /** The node accepts callers' requests. */
    ENTRY,
    /** The node keeps a replica of the control state on its disk. */
    CONTROL
}
