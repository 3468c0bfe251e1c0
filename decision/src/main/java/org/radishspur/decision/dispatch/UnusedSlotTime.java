package org.radishspur.decision.dispatch;

/**
 * Measures for which share of the time for which this scheduler counts a slot as taken no request runs there: the grant
 * is still on its way to the upstream, or the end of the answer on its way back.
 */
final class UnusedSlotTime {
    /** Weight of the newest call in the average times; about fifty calls outweigh the older ones. */
    private static final double TIME_AVERAGE_WEIGHT = 0.02;

    private final MovingAverage heldMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);
    private final MovingAverage unusedMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);

    /**
     * Records an answered call. Of the unused time at most the time of a call counts: a stall of this process or of an
     * entry tells nothing about the time after it.
     *
     * @param counted for how long this scheduler counted its slot as taken, in milliseconds.
     * @param held for how long the call was at the upstream, in milliseconds.
     */
    void record(long counted, long held) {
        heldMillis.add(Math.max(1, held));
        unusedMillis.add(Math.max(0, Math.min(counted - held, heldMillis.value())));
    }

    /**
     * Returns how many requests are counted as running at an upstream, but don't run there, when it is fully used.
     *
     * @param slots the slots of the upstream.
     * @return the number, at most that of the slots.
     */
    int unusedSlots(int slots) {
        return heldMillis.isKnown() ? (int) (slots * Math.min(1, unusedMillis.value() / heldMillis.value())) : 0;
    }
}
