package org.radishspur.decision.permit;

import org.radishspur.model.request.Tier;

/**
 * Works out how many slots to keep free for more urgent tiers. Dispatched work is not interrupted, so a slot that a bulk
 * request has just taken is lost to an urgent one that comes a moment later.
 */
final class SlotReserve {
    private static final double SMOOTHING = 0.05;
    private static final double ARRIVAL_MARGIN = 2;
    private static final double ROUNDING_OFFSET = 0.95;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final double[] meanArrivalGapMicros = new double[Tier.values().length];
    private final long[] lastArrivalMicros = new long[Tier.values().length];
    private double meanReleaseGapMicros = MICROS_PER_SECOND;
    private long lastReleaseMicros;

    SlotReserve() {
        java.util.Arrays.fill(meanArrivalGapMicros, MICROS_PER_SECOND);
        java.util.Arrays.fill(lastArrivalMicros, Long.MIN_VALUE / 2);
    }

    void arrived(Tier tier, long now) {
        int index = tier.ordinal();
        double gap = Math.min(MICROS_PER_SECOND, Math.max(1, now - lastArrivalMicros[index]));
        meanArrivalGapMicros[index] += SMOOTHING * (gap - meanArrivalGapMicros[index]);
        lastArrivalMicros[index] = now;
    }

    void released(long now) {
        meanReleaseGapMicros +=
                SMOOTHING * (Math.min(MICROS_PER_SECOND, now - lastReleaseMicros) - meanReleaseGapMicros);
        lastReleaseMicros = now;
    }

    /** Returns the number of free slots that a tier must leave: as many as more urgent requests come before the next
     * slot is released, within a bound. */
    int reservedSlots(Tier tier, int capacity, double greatestShare, int inUse, long now) {
        if (inUse == 0) {
            return 0;
        }
        double expected = 0;
        for (int index = 0; index < tier.ordinal(); index++) {
            double gap = Math.max(meanArrivalGapMicros[index], (now - lastArrivalMicros[index]) / 2.0);
            expected += meanReleaseGapMicros / Math.max(1, gap);
        }
        return (int)
                Math.min(Math.floor(ARRIVAL_MARGIN * expected + ROUNDING_OFFSET), Math.floor(capacity * greatestShare));
    }
}
