package org.radishspur.decision.dispatch;

/**
 * Measures for which share of the time for which a slot counts as taken no request runs there. This scheduler counts a slot
 * as taken from the grant until the report of the end; the request runs only from its sending until the end of the answer.
 */
final class UnusedSlotTime {
    /** Minimum number of calls from which the share counts; the first ones include making connections. */
    private static final long MIN_SAMPLES = 16;

    /** The median, so that the calls that a stall of this process or of an entry delays don't count. */
    private static final double QUANTILE = 0.5;

    private final RecentQuantiles unusedShares = new RecentQuantiles();

    /**
     * Records an answered call.
     *
     * @param takenMillis for how long this scheduler counted its slot as taken, in milliseconds.
     * @param runMillis for how long the call was at the upstream, in milliseconds.
     */
    void record(long takenMillis, long runMillis) {
        unusedShares.add(Math.max(0, (double) (takenMillis - runMillis) / Math.max(1, runMillis)));
    }

    /**
     * Returns how many requests are counted as running at an upstream, but don't run there, when it is fully used.
     *
     * @param slots the slots of the upstream.
     * @return the number, at most that of the slots.
     */
    int unusedSlots(int slots) {
        return (int) (slots * share());
    }

    /** Returns the unused time of a slot as a share of the time for which a call runs there, from 0 to 1. */
    double share() {
        return unusedShares.samples() < MIN_SAMPLES ? 0 : Math.min(1, unusedShares.value(QUANTILE));
    }
}
