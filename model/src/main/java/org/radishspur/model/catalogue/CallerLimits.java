package org.radishspur.model.catalogue;

/**
 * Bounds what a caller may send and how long it may take.
 *
 * @param headerBytes the greatest size of a request's head.
 * @param bodyBytes the greatest size of a body.
 * @param headerMillis how long a caller may take to send a head, in milliseconds.
 * @param idleMillis how long a connection may be idle between requests, in milliseconds.
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** What holds before the first catalogue is known; the sizes are those that HTTP libraries commonly take. */
    public static final CallerLimits STANDARD = new CallerLimits(16_384, 4 << 20, 5_000, 15_000);
}
