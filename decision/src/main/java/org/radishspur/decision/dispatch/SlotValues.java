package org.radishspur.decision.dispatch;

import java.util.TreeMap;

/**
 * Learns how long the requests of each tier hold a slot, and says what a slot is worth to a request.
 *
 * <p>Where slots are short, what counts is the worth that a slot earns in the time that it is held, the cµ rule of
 * scheduling: an answer of a less urgent tier that is done in a tenth of a second delays nobody, while a strict order of
 * tiers would let its callers wait in vain behind answers that take ten times as long.
 */
final class SlotValues {
    /** How many times as much an answer is worth as one of the next less urgent tier. */
    private static final double TIER_RATIO = 4;

    /** The part of its worth that an answer keeps which can't be on time any more. */
    private static final double LATE_PART = 1 / TIER_RATIO;

    /** The part of the newest time in an average of holding times; some fifty requests outweigh the older ones. */
    private static final double HOLD_WEIGHT = 0.02;

    private final TreeMap<Integer, Average> holds = new TreeMap<>();
    private final Average allHolds = new Average(HOLD_WEIGHT);

    /** Notes that requests of a tier are there. */
    void seen(int tier) {
        holds.computeIfAbsent(tier, key -> new Average(HOLD_WEIGHT));
    }

    /** Notes for how long a request that was answered has held its slot. */
    void held(int tier, long millis) {
        seen(tier);
        holds.get(tier).add(Math.max(1, millis));
        allHolds.add(Math.max(1, millis));
    }

    /** Returns what a slot is worth to a request for each unit of time that it holds it. */
    double of(QueuedRequest queued) {
        double onTime = ofTier(queued.work().tier());
        return queued.isLate() ? onTime * LATE_PART : onTime;
    }

    /**
     * Returns by how many tiers a request stands behind those to which a slot is worth most, as a fraction where its worth
     * lies between two tiers.
     */
    double stepsBehindBest(QueuedRequest queued) {
        double best = holds.keySet().stream().mapToDouble(this::ofTier).max().orElse(1);
        return Math.max(0, Math.log(best / of(queued)) / Math.log(TIER_RATIO));
    }

    private double ofTier(int tier) {
        return Math.pow(TIER_RATIO, holds.firstKey() - tier) / holdMillis(tier);
    }

    /** Returns the usual holding time of a tier; a tier without answers counts as like the others. */
    private double holdMillis(int tier) {
        Average known = holds.get(tier);
        if (known != null && known.isKnown()) {
            return known.value();
        }
        return allHolds.isKnown() ? allHolds.value() : 1;
    }
}
