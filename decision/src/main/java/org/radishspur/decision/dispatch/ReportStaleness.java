package org.radishspur.decision.dispatch;

/**
 * Weighs how old the reports of other schedulers are against how long requests hold a slot, and says how freely slots may be
 * granted that others use as well.
 */
final class ReportStaleness {
    /** How old the reports of other schedulers are at most, in milliseconds: a round of reports. */
    private static final long MAX_REPORT_AGE_MILLIS = 40;

    /** The part of the usual holding time for which a slot in another failure domain may be left empty at most. */
    private static final double MAX_SPACING_RATIO = 1.0 / 6;

    /** The part of the newest time in the average of holding times; some fifty requests outweigh the older ones. */
    private static final double HOLD_AVERAGE_WEIGHT = 0.02;

    /** So many answers tell the usual holding time; the first ones are the short ones. */
    private static final long MIN_HOLD_SAMPLES = 100;

    private final MovingAverage holdMillis = new MovingAverage(HOLD_AVERAGE_WEIGHT);

    /** Notes for how long a request that was answered has held its slot. */
    void recordHold(long millis) {
        holdMillis.add(Math.max(1, millis));
    }

    /**
     * Returns how long after a grant of a slot in another failure domain none is granted at the same upstream, in milliseconds.
     * Guards against a rush of all schedulers to an upstream that has just freed two slots.
     */
    long spacingMillis() {
        return isHoldKnown()
                ? Math.min(MAX_REPORT_AGE_MILLIS, (long) (holdMillis.value() * MAX_SPACING_RATIO))
                : MAX_REPORT_AGE_MILLIS;
    }

    /**
     * Returns how many of an upstream's slots are likely to be free that other schedulers have not reported yet. Guards against
     * upstreams for short calls that stand idle for a good part of the time while callers are refused: a call holds its slot
     * hardly longer than a report takes. Where the guess is wrong, a request waits at the upstream for less than a report.
     *
     * @param slots the slots of the upstream.
     */
    int unreportedReleases(int slots) {
        return isHoldKnown() ? (int) (slots * Math.min(1, MAX_REPORT_AGE_MILLIS / holdMillis.value())) : 0;
    }

    private boolean isHoldKnown() {
        return holdMillis.samples() >= MIN_HOLD_SAMPLES;
    }
}
