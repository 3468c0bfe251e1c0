/**
 * Decides for one scheduler which upstream serves a request, which requests queue, which are refused, and what
 * organisations may use. Schedulers report to each other what they have in progress and receive it a moment later; none
 * waits for another one, so that the loss of a process delays no other. The code here uses no clock and no network.
 */
package org.radishspur.decision.dispatch;
