/**
 * Decides for one scheduler where a request goes, who waits, who is refused, and what organisations may use. Schedulers report
 * to each other what they have in progress and learn it a moment later; none waits for another one, so that the loss of any
 * process holds up nobody. Nothing here knows a clock or a network.
 */
package org.radishspur.decision.dispatch;
