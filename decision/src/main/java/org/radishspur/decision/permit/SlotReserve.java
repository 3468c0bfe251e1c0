package org.radishspur.decision.permit;

import org.radishspur.model.request.Tier;

/**
 * Computes how many slots to keep free for more urgent tiers. A dispatched request is not preempted, so a slot that a
 * bulk request has just taken is not available to an urgent request that arrives a moment later.
 */
final class SlotReserve {
    /** The weight of a new sample in the moving averages. */
    private static final double SMOOTHING = 0.05;

    /** How many slots are reserved for each arrival that is expected. */
    private static final double ARRIVAL_MARGIN = 2;

    /** Added before rounding down, so that a fraction of at least 0.05 slots is rounded up. */
    private static final double ROUNDING_OFFSET = 0.95;

    private static final double MICROS_PER_SECOND = 1_000_000;

    private final double[] meanArrivalGapMicros = new double[Tier.values().length];
    private final long[] lastArrivalAt = new long[Tier.values().length];
    private double meanReleaseGapMicros = MICROS_PER_SECOND;
    private long lastReleaseAt;

    SlotReserve() {
        java.util.Arrays.fill(meanArrivalGapMicros, MICROS_PER_SECOND);
        java.util.Arrays.fill(lastArrivalAt, Long.MIN_VALUE / 2);
    }

    void arrived(Tier tier, long now) {
        int index = tier.ordinal();
        double gap = Math.min(MICROS_PER_SECOND, Math.max(1, now - lastArrivalAt[index]));
        meanArrivalGapMicros[index] += SMOOTHING * (gap - meanArrivalGapMicros[index]);
        lastArrivalAt[index] = now;
    }

    void released(long now) {
        meanReleaseGapMicros += SMOOTHING * (Math.min(MICROS_PER_SECOND, now - lastReleaseAt) - meanReleaseGapMicros);
        lastReleaseAt = now;
    }

    /**
     * Returns the number of free slots that a tier must not use. It grows with the number of more urgent requests that
     * are expected before the next slot is released, up to a share of the capacity, and is 0 while the pool is idle.
     */
    int reservedSlots(Tier tier, int capacity, double maxShare, int inUse, long now) {
        if (inUse == 0) {
            return 0;
        }
        double expectedArrivals = 0;
        for (int index = 0; index < tier.ordinal(); index++) {
            double gap = Math.max(meanArrivalGapMicros[index], (now - lastArrivalAt[index]) / 2.0);
            expectedArrivals += meanReleaseGapMicros / Math.max(1, gap);
        }
        return (int) Math.min(
                Math.floor(ARRIVAL_MARGIN * expectedArrivals + ROUNDING_OFFSET), Math.floor(capacity * maxShare));
    }
}
