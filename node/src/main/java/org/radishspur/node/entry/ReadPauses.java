package org.radishspur.node.entry;

/**
 * Measures the time for which a response isn't read because its caller doesn't take it, so that this doesn't count as
 * silence of the upstream.
 */
final class ReadPauses {
    private static final long NOT_PAUSED = -1;

    private long since = NOT_PAUSED;
    private long totalMillis;

    /** Begins a pause unless there is one, and returns whether it did. */
    boolean begin(long now) {
        boolean begins = !isPaused();
        if (begins) {
            since = now;
        }
        return begins;
    }

    /** Ends the pause, and returns its length in milliseconds, 0 where there was none. */
    long end(long now) {
        if (!isPaused()) {
            return 0;
        }
        long millis = now - since;
        since = NOT_PAUSED;
        totalMillis += millis;
        return millis;
    }

    boolean isPaused() {
        return since != NOT_PAUSED;
    }

    /** Returns the length of all pauses that have ended, in milliseconds. */
    long totalMillis() {
        return totalMillis;
    }

    /** Returns the length of all pauses, the present one included, in milliseconds. */
    long totalMillis(long now) {
        return totalMillis + (isPaused() ? now - since : 0);
    }
}
