package org.radishspur.decision.dispatch;

import java.util.List;

/**
 * Leaves some slots free for more urgent requests. Fast and slow slots are counted separately: an urgent request doesn't go
 * to a slow engine, so that a free slot there must not let a less urgent request take the last fast one.
 */
final class PriorityReserve {
    private final SlotCapacity capacity;

    PriorityReserve(SlotCapacity capacity) {
        this.capacity = capacity;
    }

    /**
     * Removes the fast upstreams, or the slow ones, where too few of their slots are free.
     *
     * @param usable the upstreams that may run the request.
     * @param inService all upstreams that this scheduler may use.
     * @param threshold divides them into fast and slow ones.
     * @param queued the request.
     * @param reserved the share of the slots that it leaves free.
     * @param now the current time in milliseconds.
     */
    void remove(
            List<UpstreamLoad> usable,
            List<UpstreamLoad> inService,
            SpeedThreshold threshold,
            QueuedRequest queued,
            double reserved,
            long now) {
        for (boolean slow : new boolean[] {false, true}) {
            List<UpstreamLoad> alike = inService.stream()
                    .filter(load -> threshold.isSlow(load) == slow)
                    .toList();
            if (freeShare(alike, queued, now) <= reserved) {
                usable.removeIf(load -> threshold.isSlow(load) == slow);
            }
        }
    }

    private double freeShare(List<UpstreamLoad> upstreams, QueuedRequest queued, long now) {
        int slots = 0;
        int free = 0;
        for (UpstreamLoad load : upstreams) {
            slots += capacity.countedSlots(load);
            free += freeSlots(load, queued, now);
        }
        return slots == 0 ? 0 : (double) free / slots;
    }

    private int freeSlots(UpstreamLoad load, QueuedRequest queued, long now) {
        if (load.refusesUntil() > now) {
            return 0;
        }
        return load.isLimited() ? (load.allowsLimitedRequest(now) ? 1 : 0) : capacity.freeSlots(load, queued);
    }
}
