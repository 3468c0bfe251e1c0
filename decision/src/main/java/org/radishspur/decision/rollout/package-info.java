/**
 * Decides whether a version of a pool that is under trial may get all requests, by comparing its responses with those of
 * the other versions. The code here uses no clock and no network.
 */
package org.radishspur.decision.rollout;
