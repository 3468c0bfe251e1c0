package org.radishspur.decision.permit;

/**
 * Holds the constants of the scheduling policy; times are in microseconds.
 *
 * @param reusesPrefixes whether the choice of an upstream counts what its cache holds.
 * @param initialLimit the number of requests that an upstream of unknown strength may run at once.
 * @param deadlineMargin the factor by which an estimate is stretched before it is held against a deadline.
 * @param maxReservedShare the greatest share of the slots that is kept free for more urgent tiers.
 * @param slowFactor how many times slower than its siblings an upstream must be to be ejected.
 * @param failuresToEject how many failures in a row eject an upstream.
 * @param firstEjectionMicros how long the first ejection lasts; each further one in a row lasts twice as long.
 * @param maxEjectionMicros how long an ejection lasts at most.
 * @param maxEjectedShare the greatest share of a pool that may be ejected at once.
 * @param cacheBlocks how many blocks each upstream's cache is taken to hold.
 */
public record SchedulerOptions(
        boolean reusesPrefixes,
        int initialLimit,
        double deadlineMargin,
        double maxReservedShare,
        double slowFactor,
        int failuresToEject,
        long firstEjectionMicros,
        long maxEjectionMicros,
        double maxEjectedShare,
        int cacheBlocks) {
    /** The policy as it was settled by the experiments in docs/DESIGN.md. */
    public static final SchedulerOptions STANDARD =
            new SchedulerOptions(true, 8, 1.1, 0.25, 4.0, 3, 1_000_000, 30_000_000, 0.34, 8_192);

    /**
     * Returns this policy with or without the reuse of prefixes.
     *
     * @param reuses whether prefixes count.
     * @return the changed policy.
     */
    public SchedulerOptions withPrefixes(boolean reuses) {
        return new SchedulerOptions(
                reuses,
                initialLimit,
                deadlineMargin,
                maxReservedShare,
                slowFactor,
                failuresToEject,
                firstEjectionMicros,
                maxEjectionMicros,
                maxEjectedShare,
                cacheBlocks);
    }
}
