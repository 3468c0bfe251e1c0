package org.radishspur.decision.dispatch;

/**
 * Measures for which share of the time for which this scheduler counts a slot as taken no request runs there: the grant
 * is still on its way to the upstream, or the end of the answer on its way back.
 */
final class UnusedSlotTime {
    /** Weight of the newest call in the average times; about fifty calls outweigh the older ones. */
    private static final double TIME_AVERAGE_WEIGHT = 0.02;

    /** Minimum share of the counted requests that is assumed to run; an upstream gets at most twice its slots. */
    private static final double MIN_RUNNING_SHARE = 0.5;

    private final MovingAverage countedMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);
    private final MovingAverage heldMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);

    /**
     * Records an answered call.
     *
     * @param counted for how long this scheduler counted its slot as taken, in milliseconds.
     * @param held for how long the call was at the upstream, in milliseconds.
     */
    void record(long counted, long held) {
        countedMillis.add(Math.max(1, counted));
        heldMillis.add(Math.min(Math.max(1, counted), Math.max(1, held)));
    }

    /**
     * Returns how many of the slots of a fully used upstream are counted as taken while no request runs there.
     *
     * @param slots the slots of the upstream.
     */
    int unusedSlots(int slots) {
        if (!countedMillis.isKnown()) {
            return 0;
        }
        // Of the requests that are counted, the share that runs there has to fill the slots.
        double runningShare = Math.max(MIN_RUNNING_SHARE, heldMillis.value() / countedMillis.value());
        return (int) (slots / runningShare) - slots;
    }
}
