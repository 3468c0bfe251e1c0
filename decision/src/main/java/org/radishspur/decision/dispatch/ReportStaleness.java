package org.radishspur.decision.dispatch;

/**
 * Adapts the granting of shared slots to how stale the reports of other schedulers are, compared with how long requests
 * hold a slot.
 */
final class ReportStaleness {
    /** Maximum age of the reports of other schedulers, in milliseconds: one report interval. */
    private static final long MAX_REPORT_AGE_MILLIS = 40;

    /** Maximum share of the average holding time for which a slot in another failure domain may stay empty. */
    private static final double MAX_SPACING_RATIO = 1.0 / 6;

    /** Weight of the newest time in the average holding time; about fifty requests outweigh the older ones. */
    private static final double HOLD_AVERAGE_WEIGHT = 0.02;

    /**
     * Number of answers from which the average holding time is used; the first answers to arrive are the short ones.
     */
    private static final long MIN_HOLD_SAMPLES = 100;

    /**
     * Number of answered plain calls from which their average holding time is used for the release rate; they differ little
     * in length, so that few are enough.
     */
    private static final long MIN_CALLS_FOR_RELEASE_RATE = 10;

    private final MovingAverage holdMillis = new MovingAverage(HOLD_AVERAGE_WEIGHT);
    private final MovingAverage callHoldMillis = new MovingAverage(HOLD_AVERAGE_WEIGHT);
    private final MovingAverage streamHoldMillis = new MovingAverage(HOLD_AVERAGE_WEIGHT);

    /** Records how long an answered plain call or stream held its slot. */
    void recordHold(boolean plainCall, long millis) {
        long held = Math.max(1, millis);
        holdMillis.add(held);
        (plainCall ? callHoldMillis : streamHoldMillis).add(held);
    }

    /**
     * Returns the minimum time between two grants at an upstream of another failure domain, in milliseconds. It keeps
     * the schedulers from all sending at the same time to an upstream that has just freed two slots.
     */
    long spacingMillis() {
        return isHoldKnown()
                ? Math.min(MAX_REPORT_AGE_MILLIS, (long) (holdMillis.value() * MAX_SPACING_RATIO))
                : MAX_REPORT_AGE_MILLIS;
    }

    /**
     * Returns how many slots of an upstream have probably been released by other schedulers, but not reported yet.
     * Without it, upstreams for short calls would be idle for much of the time while callers are refused, because a
     * call holds its slot little longer than a report takes. Where the estimate is wrong, a request waits at the
     * upstream for less than a report interval.
     *
     * @param slots the slots of the upstream.
     */
    int unreportedReleases(int slots) {
        return isHoldKnown() ? (int) (slots * Math.min(1, MAX_REPORT_AGE_MILLIS / holdMillis.value())) : 0;
    }

    /**
     * Returns how long answered plain calls or streams of the pool hold their slots, in milliseconds.
     *
     * @param plainCalls whether to return the time of plain calls, rather than that of streams.
     * @param assumedMillis the time to assume until enough of them have ended.
     */
    double holdMillisOr(boolean plainCalls, double assumedMillis) {
        MovingAverage average = plainCalls ? callHoldMillis : streamHoldMillis;
        long minSamples = plainCalls ? MIN_CALLS_FOR_RELEASE_RATE : MIN_HOLD_SAMPLES;
        return average.samples() >= minSamples ? average.value() : assumedMillis;
    }

    private boolean isHoldKnown() {
        return holdMillis.samples() >= MIN_HOLD_SAMPLES;
    }
}
