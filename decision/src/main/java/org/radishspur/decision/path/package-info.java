/**
 * Decides whether a host that fails to reach upstreams has lost its own links, and how it finds out that they work
 * again.
 */
package org.radishspur.decision.path;
