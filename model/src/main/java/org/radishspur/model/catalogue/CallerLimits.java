package org.radishspur.model.catalogue;

/**
 * Limits the size of a caller's requests and the time that a caller may take to send them.
 *
 * @param maxHeaderBytes the maximum size of a request line with its headers, in bytes.
 * @param maxBodyBytes the maximum size of a request body, in bytes.
 * @param headerTimeoutMillis the maximum time for sending the request line and headers, in milliseconds.
 * @param idleTimeoutMillis the maximum time that a connection may be idle between requests, in milliseconds.
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits before the first catalogue has been received; the sizes are common defaults of HTTP libraries. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4 << 20, 5_000, 15_000);
}
