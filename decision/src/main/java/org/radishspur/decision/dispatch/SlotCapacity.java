package org.radishspur.decision.dispatch;

/**
 * Counts the slots of the upstreams of one pool, and how many of them this scheduler may use beside the others. Reports of
 * requests in progress are old compared with short calls, so that some slots that count as taken are free.
 */
final class SlotCapacity {
    private final String ownDomain;
    private final int defaultSlots;
    private final ReportStaleness staleness = new ReportStaleness();
    private final UnusedSlotTime unusedTime = new UnusedSlotTime();
    private int schedulerCount = 1;

    /**
     * Creates the capacity of a pool with one scheduler.
     *
     * @param ownDomain the failure domain of this scheduler.
     * @param defaultSlots the slots of an upstream for which the host list gives no number.
     */
    SlotCapacity(String ownDomain, int defaultSlots) {
        this.ownDomain = ownDomain;
        this.defaultSlots = defaultSlots;
    }

    /** Sets how many schedulers share the upstreams, this one included. */
    void setSchedulerCount(int count) {
        schedulerCount = Math.max(1, count);
    }

    int schedulerCount() {
        return schedulerCount;
    }

    /** Records how long an answered plain call or stream held its slot. */
    void recordHold(boolean plainCall, long millis) {
        staleness.recordHold(plainCall, millis);
    }

    /** Returns how long answered plain calls or streams hold their slots in milliseconds, or an assumed time until that is known. */
    double holdMillisOr(boolean plainCalls, double assumedMillis) {
        return staleness.holdMillisOr(plainCalls, assumedMillis);
    }

    /** Returns for how long slots count as taken while no request runs there. */
    UnusedSlotTime unusedTime() {
        return unusedTime;
    }

    /** Returns the slots of an upstream, free or taken. */
    int slots(UpstreamLoad load) {
        return Math.max(1, load.upstream().slots() > 0 ? load.upstream().slots() : defaultSlots);
    }

    /** Returns the slots of an upstream as capacity of the pool; a limit leaves most slots of an upstream empty. */
    int countedSlots(UpstreamLoad load) {
        return load.isLimited() ? 1 : slots(load);
    }

    /** Returns whether this scheduler's share of the slots of an upstream is less than one. */
    boolean isShareBelowOne(UpstreamLoad load) {
        return schedulerCount > slots(load);
    }

    /** Returns how many slots of an upstream this scheduler has if it keeps the share of them that it uses now. */
    double usedShareOfSlots(UpstreamLoad load) {
        double share = load.inProgress() > 0
                ? Math.max(0, load.ownInProgress()) / (double) load.inProgress()
                : 1.0 / schedulerCount;
        return share * countedSlots(load);
    }

    /** Returns how many slots of an upstream are free for a request. */
    int freeSlots(UpstreamLoad load, QueuedRequest queued) {
        return Math.max(0, slots(load) + unusedSlots(load, queued) - load.inProgress());
    }

    /**
     * Returns whether one more request may be sent. More may count as in progress than there are slots, as some of them
     * don't run at the upstream yet or any more. Until the time per event of an upstream is known, each scheduler
     * uses only its share of the slots: an upstream that has just been listed counts as fast and all schedulers see it
     * empty, but a slow one with twice as many requests as slots answers none in time.
     */
    boolean hasFreeSlot(UpstreamLoad load, QueuedRequest queued, long now) {
        if (load.isCold(now) && !load.allowsColdRequest(now)) {
            return false;
        }
        if (load.isOnProbation() || load.isTestedAfterRefusals()) {
            return load.inProgress() < 1;
        }
        if (schedulerCount > 1 && !isOwnDomain(load) && now - load.lastSentAt() < staleness.spacingMillis()) {
            return false;
        }
        int slots = slots(load) + probablyFreeSlots(load, queued);
        int slotsWithReleases = slots(load) + unreportedReleases(load);
        int ownShare = load.isEventTimeKnown() ? slots : Math.max(1, slotsWithReleases / schedulerCount);
        return load.inProgress() < slots && load.ownInProgress() < ownShare;
    }

    private boolean isOwnDomain(UpstreamLoad load) {
        return load.upstream().failureDomain().equals(ownDomain);
    }

    /** Returns how many slots of an upstream count as taken although no request runs there, at most as many as it has. */
    private int probablyFreeSlots(UpstreamLoad load, QueuedRequest queued) {
        return Math.min(slots(load), unreportedReleases(load) + unusedSlots(load, queued));
    }

    /** Returns the slots that plain calls leave idle; streams run for so long that one more would delay the others. */
    private int unusedSlots(UpstreamLoad load, QueuedRequest queued) {
        return queued.isPlainCall() ? unusedTime.unusedSlots(slots(load)) : 0;
    }

    private int unreportedReleases(UpstreamLoad load) {
        return schedulerCount > 1 ? staleness.unreportedReleases(slots(load)) : 0;
    }
}
