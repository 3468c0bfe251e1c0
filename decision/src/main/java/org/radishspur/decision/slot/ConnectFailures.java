package org.radishspur.decision.slot;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.decision.dispatch.UpstreamLoad;

/**
 * Remembers which entry could not connect to which upstream.
 *
 * <p>Guards against an entry that is cut off itself: it fails to connect to every upstream, and its reports alone would take
 * all upstreams away from the other entries.
 */
final class ConnectFailures {
    /** Failures of two entries within this time have one cause, in milliseconds. */
    private static final long WINDOW_MILLIS = 1_000;

    private final Map<UpstreamLoad, Failure> latest = new HashMap<>();

    /** Notes a failure, and returns whether another entry has failed at the same upstream lately. */
    boolean confirms(UpstreamLoad upstream, String entry, long now) {
        latest.values().removeIf(failure -> now - failure.at() > WINDOW_MILLIS);
        Failure before = latest.put(upstream, new Failure(entry, now));
        return before != null && !before.entry().equals(entry);
    }

    private record Failure(String entry, long at) {}
}
