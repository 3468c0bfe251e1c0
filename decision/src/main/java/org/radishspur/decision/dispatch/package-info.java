/**
 * Decides for one entry where a request goes, who waits, who is refused, and what organisations may use. Entries share
 * what they have in progress and learn of each other's a moment later; no entry waits for another one's leave, so that
 * the loss of any process holds up nobody. Nothing here knows a clock or a network.
 */
package org.radishspur.decision.dispatch;
