package org.radishspur.decision.dispatch;

import java.util.TreeMap;

/**
 * Holds for how long the requests of each tier of a pool hold a slot, to tell how much more urgent requests miss a slot that
 * one takes: a slot that is held for longer is missed for longer.
 */
final class TierHoldTimes {
    /** Weight of the newest time in an average holding time; about fifty requests outweigh the older ones. */
    private static final double HOLD_AVERAGE_WEIGHT = 0.02;

    /** How many tiers' share more is left free by requests that hold a slot for twice as long. */
    private static final double TIERS_PER_DOUBLING = 0.5;

    /** How many tiers' share more is left free at most, however long requests hold a slot. */
    private static final double MAX_TIERS_FOR_HOLD = 1;

    private final TreeMap<Integer, MovingAverage> holdMillisByTier = new TreeMap<>();
    private final MovingAverage holdMillisOfAllTiers = new MovingAverage(HOLD_AVERAGE_WEIGHT);

    /** Records that there are requests of a tier. */
    void addTier(int tier) {
        holdMillisByTier.computeIfAbsent(tier, key -> new MovingAverage(HOLD_AVERAGE_WEIGHT));
    }

    /** Records how long an answered request held its slot. */
    void recordHold(int tier, long millis) {
        addTier(tier);
        holdMillisByTier.get(tier).add(Math.max(1, millis));
        holdMillisOfAllTiers.add(Math.max(1, millis));
    }

    /**
     * Returns for how many tiers the requests of one leave slots free: for each more urgent one, and more or fewer by the
     * time for which they hold a slot, compared with the most urgent tier; a fraction, at least 0.
     *
     * @param tier a tier that has been added.
     */
    double tiersToLeaveSlotsFor(int tier) {
        int moreUrgent = tier - holdMillisByTier.firstKey();
        if (moreUrgent == 0) {
            return 0;
        }
        return Math.max(0, moreUrgent + Math.min(MAX_TIERS_FOR_HOLD, TIERS_PER_DOUBLING * doublings(tier)));
    }

    /** Returns how many times longer than the most urgent tier another holds its slots, as a power of two. */
    private double doublings(int tier) {
        return Math.log(usualHoldMillis(tier) / usualHoldMillis(holdMillisByTier.firstKey())) / Math.log(2);
    }

    /** Returns the average holding time of a tier in milliseconds; that of all tiers where the tier has no answers yet. */
    private double usualHoldMillis(int tier) {
        MovingAverage average = holdMillisByTier.get(tier);
        if (average.isKnown()) {
            return average.value();
        }
        return holdMillisOfAllTiers.isKnown() ? holdMillisOfAllTiers.value() : 1;
    }
}
