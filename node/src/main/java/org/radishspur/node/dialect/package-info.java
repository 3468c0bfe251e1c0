/**
 * Defines the interfaces that translate a platform's formats: the HTTP headers of callers and upstreams, operators'
 * calls and tables, and the platform's list of hosts. An implementation translates names and formats and makes no
 * decisions.
 *
 * <p>The platform's programs entry and control use this package; its counterparts in the program radishspur-node are
 * {@code org.radishspur.node.caller}, {@code org.radishspur.node.admin} and {@code org.radishspur.node.upstream}, whose
 * formats are fixed.
 */
package org.radishspur.node.dialect;
