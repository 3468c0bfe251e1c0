package org.radishspur.decision.dispatch;

/**
 * Gives the rates at which slots of a pool are released to this scheduler, from the slots in use and the average holding
 * time. Until that is known, {@link QueuedRequest#assumedHoldMillis()} stands for it.
 *
 * @param upstreams the upstreams of the pool.
 * @param capacity their slots.
 */
record PoolReleaseRate(UpstreamPool upstreams, SlotCapacity capacity) implements ReleaseRate {
    /**
     * {@inheritDoc}
     *
     * <p>For plain calls: this scheduler's share of all slots, each released once in the average holding time of calls. All
     * slots count, because a call may hold one for less time than a report takes.
     *
     * <p>For streams: the requests that this scheduler itself has in progress at upstreams that the request may use now, each
     * released once in the average holding time of streams. Slots that other schedulers have taken are left out, because
     * those use them again.
     */
    @Override
    public double minPerSecond(QueuedRequest queued, long now) {
        double holdMillis = holdMillis(queued);
        double expected = queued.isPlainCall()
                ? slotsFor(queued, now) * 1_000.0 / holdMillis / capacity.schedulerCount()
                : upstreams.usable(queued, now).stream()
                        .mapToDouble(load -> load.ownReleasesPerSecond(holdMillis, now))
                        .sum();
        return Math.max(DEFAULT.minPerSecond(queued, now), expected);
    }

    /**
     * {@inheritDoc}
     *
     * <p>For streams: the share of the slots in service that this scheduler uses, each released once in the average holding
     * time; upstreams that are silent now count as well.
     */
    @Override
    public double capacityPerSecond(QueuedRequest queued, long now) {
        return queued.isPlainCall()
                ? minPerSecond(queued, now)
                : upstreams
                                .inServiceFor(queued, now)
                                .mapToDouble(capacity::usedShareOfSlots)
                                .sum()
                        * 1_000
                        / holdMillis(queued);
    }

    private double holdMillis(QueuedRequest queued) {
        return Math.max(1, capacity.holdMillisOr(queued.isPlainCall(), queued.assumedHoldMillis()));
    }

    private int slotsFor(QueuedRequest queued, long now) {
        return upstreams
                .inServiceFor(queued, now)
                .mapToInt(capacity::countedSlots)
                .sum();
    }
}
