/**
 * Implements the operators' command line program radishspur.
 *
 * <p>Its commands call the admin server of the program radishspur-node, in {@code node.admin}, and apply tables that
 * operators keep in files under version control; only {@code trace} and {@code losses} belong to the platform's
 * programs entry and control, whose structured events they read.
 */
package org.radishspur.command;
