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
    private static final double VALUE_RATIO_PER_TIER = 4;

    /** The part of its worth that an answer keeps which can't be on time any more. */
    private static final double LATE_VALUE_RATIO = 1 / VALUE_RATIO_PER_TIER;

    /** The part of the newest time in an average of holding times; some fifty requests outweigh the older ones. */
    private static final double HOLD_AVERAGE_WEIGHT = 0.02;

    private final TreeMap<Integer, MovingAverage> holdMillisByTier = new TreeMap<>();
    private final MovingAverage holdMillisOfAllTiers = new MovingAverage(HOLD_AVERAGE_WEIGHT);

    /** Notes that requests of a tier are there. */
    void addTier(int tier) {
        holdMillisByTier.computeIfAbsent(tier, key -> new MovingAverage(HOLD_AVERAGE_WEIGHT));
    }

    /** Notes for how long a request that was answered has held its slot. */
    void recordHold(int tier, long millis) {
        addTier(tier);
        holdMillisByTier.get(tier).add(Math.max(1, millis));
        holdMillisOfAllTiers.add(Math.max(1, millis));
    }

    /** Returns what a slot is worth to a request for each unit of time that it holds it. */
    double valueFor(QueuedRequest queued) {
        double onTime = tierValue(queued.work().tier());
        return queued.isLate() ? onTime * LATE_VALUE_RATIO : onTime;
    }

    /**
     * Returns by how many tiers a request stands behind those to which a slot is worth most, as a fraction where its worth
     * lies between two tiers.
     */
    double tiersBehindBest(QueuedRequest queued) {
        double best = holdMillisByTier.keySet().stream()
                .mapToDouble(this::tierValue)
                .max()
                .orElse(1);
        return Math.max(0, Math.log(best / valueFor(queued)) / Math.log(VALUE_RATIO_PER_TIER));
    }

    private double tierValue(int tier) {
        return Math.pow(VALUE_RATIO_PER_TIER, holdMillisByTier.firstKey() - tier) / usualHoldMillis(tier);
    }

    /** Returns the usual holding time of a tier; a tier without answers counts as like the others. */
    private double usualHoldMillis(int tier) {
        MovingAverage average = holdMillisByTier.get(tier);
        if (average != null && average.isKnown()) {
            return average.value();
        }
        return holdMillisOfAllTiers.isKnown() ? holdMillisOfAllTiers.value() : 1;
    }
}
