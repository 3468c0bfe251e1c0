package org.radishspur.decision.dispatch;

import java.util.Collection;

/**
 * Divides the upstreams of a pool into fast and slow ones.
 *
 * @param slowAboveMillis the time per event above which an upstream is slow, in milliseconds.
 */
record SpeedThreshold(double slowAboveMillis) {
    /** An upstream counts as slow beyond this multiple of the shortest time per event; load alone adds up to a half. */
    private static final double SLOW_FACTOR = 2;

    /** Returns the threshold of a pool. */
    static SpeedThreshold of(Collection<UpstreamLoad> upstreams) {
        return new SpeedThreshold(shortestEventMillis(upstreams) * SLOW_FACTOR);
    }

    /** Returns the shortest known time per event in milliseconds, or 1 where none is known. */
    static double shortestEventMillis(Collection<UpstreamLoad> upstreams) {
        return upstreams.stream()
                .filter(UpstreamLoad::isEventTimeKnown)
                .mapToDouble(UpstreamLoad::eventMillis)
                .min()
                .orElse(1);
    }

    /** Returns whether an upstream is slow; one without measurements isn't. */
    boolean isSlow(UpstreamLoad load) {
        return load.isEventTimeKnown() && load.eventMillis() > slowAboveMillis;
    }
}
