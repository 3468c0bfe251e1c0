/**
 * The entry: takes callers' requests, sends them to upstreams and brings the answers back. One thread carries traffic and
 * owns all that requests touch; the control thread follows the control leader and hands over whole, immutable views.
 */
package org.radishspur.node.entry;
