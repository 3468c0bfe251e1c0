package org.radishspur.node.upstream;

/**
 * What an exchange with an upstream is started for.
 *
 * @param address the host and port of the upstream.
 * @param identity distinguishes the response from others; without an identifier, a new connection is made.
 * @param repeatable whether the request may run more than once, so that a failed trial of a broken path does no harm.
 * @param relayable whether the request may pass through another host.
 */
public record UpstreamCall(String address, RequestIdentity identity, boolean repeatable, boolean relayable) {
    /**
     * Creates a call that tries no broken path and may be relayed.
     *
     * @param address the host and port of the upstream.
     * @param identity distinguishes the response from others.
     */
    public UpstreamCall(String address, RequestIdentity identity) {
        this(address, identity, false, true);
    }
}
