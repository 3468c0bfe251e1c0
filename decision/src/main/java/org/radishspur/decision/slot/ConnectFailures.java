package org.radishspur.decision.slot;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.decision.dispatch.UpstreamLoad;

/**
 * Tracks connect failures, so that an upstream counts as unreachable only after two entries have failed to connect to
 * it.
 *
 * <p>An entry with a faulty network connection of its own fails to connect to every upstream. If its reports were
 * enough, it would take all upstreams out of service for the other entries.
 */
final class ConnectFailures {
    /** The time within which failures reported by two entries confirm each other, in milliseconds. */
    private static final long CONFIRMATION_WINDOW_MILLIS = 1_000;

    private final Map<UpstreamLoad, Failure> latestFailures = new HashMap<>();

    /**
     * Records a connect failure, and returns whether the previous failure at the same upstream came from another entry
     * within the confirmation window.
     */
    boolean recordAndConfirm(UpstreamLoad upstream, String entry, long now) {
        latestFailures.values().removeIf(failure -> now - failure.failedAt() > CONFIRMATION_WINDOW_MILLIS);
        Failure previous = latestFailures.put(upstream, new Failure(entry, now));
        return previous != null && !previous.entry().equals(entry);
    }

    private record Failure(String entry, long failedAt) {}
}
