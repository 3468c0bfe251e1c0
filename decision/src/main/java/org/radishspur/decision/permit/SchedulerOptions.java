package org.radishspur.decision.permit;

/**
 * The parameters of the scheduling policy. Times are in microseconds.
 *
 * @param reusesPrefixes whether the choice of an upstream considers which prompt prefixes are in its cache.
 * @param initialLimit the number of requests that an upstream may run at once before its speed has been measured.
 * @param deadlineMargin the factor by which an estimated time is multiplied before it is compared with a deadline.
 * @param maxReservedShare the maximum share of the slots that is kept free for more urgent tiers.
 * @param slowFactor from how many times the median output time of comparable upstreams on an upstream is ejected.
 * @param failuresToEject how many failures in a row eject an upstream.
 * @param firstEjectionMicros how long the first ejection lasts; each further one in a row is twice as long.
 * @param maxEjectionMicros the maximum time that an ejection lasts.
 * @param maxEjectedShare the maximum share of a pool that may be ejected at the same time.
 * @param cacheBlocks the number of prompt blocks that the cache of each upstream is assumed to hold.
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
    /** The default policy; docs/DESIGN.md describes the experiments that its values come from. */
    public static final SchedulerOptions DEFAULTS =
            new SchedulerOptions(true, 8, 1.1, 0.25, 4.0, 3, 1_000_000, 30_000_000, 0.34, 8_192);

    /**
     * Returns this policy with or without the reuse of prefixes.
     *
     * @param reuses whether the choice of an upstream considers cached prefixes.
     * @return the changed policy.
     */
    public SchedulerOptions withPrefixReuse(boolean reuses) {
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
