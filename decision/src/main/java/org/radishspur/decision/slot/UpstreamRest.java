package org.radishspur.decision.slot;

/**
 * States that an upstream has asked an entry to send it nothing for some time.
 *
 * @param upstream the hash code of the run of the upstream.
 * @param millis how long that holds, in milliseconds.
 */
public record UpstreamRest(int upstream, long millis) {}
