/**
 * The control host: a replica of the shared state, its members, what entries and operators are told, the reader of the
 * platform's host list, and the judge of rollouts. Everything here runs on the control thread.
 */
package org.radishspur.node.group;
