package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;

/**
 * The waiting requests of a pool, by tier.
 */
final class WaitingQueue {
    private final TierQueue[] tiers = new TierQueue[Tier.values().length];
    private final Map<PermitId, WaitingRequest> byId = new HashMap<>();
    private final TreeSet<WaitingRequest> byLatestStart = new TreeSet<>(WaitingRequest::compareLatestStart);

    WaitingQueue() {
        for (int tier = 0; tier < tiers.length; tier++) {
            tiers[tier] = new TierQueue();
        }
    }

    int size() {
        return byId.size();
    }

    boolean contains(PermitId id) {
        return byId.containsKey(id);
    }

    TierQueue tier(Tier tier) {
        return tiers[tier.ordinal()];
    }

    void add(WaitingRequest waiting, double weight) {
        byId.put(waiting.request.id(), waiting);
        byLatestStart.add(waiting);
        tier(waiting.request.tier()).add(waiting, weight);
    }

    /** Removes a request and returns it; returns null where it isn't waiting. */
    WaitingRequest remove(PermitId id) {
        WaitingRequest waiting = byId.remove(id);
        if (waiting != null) {
            byLatestStart.remove(waiting);
            tier(waiting.request.tier()).remove(waiting);
        }
        return waiting;
    }

    void removeGranted(WaitingRequest waiting) {
        byId.remove(waiting.request.id());
        byLatestStart.remove(waiting);
        tier(waiting.request.tier()).removeGranted(waiting);
    }

    /** Returns the request to shed next, which is of the least urgent tier that has any. */
    WaitingRequest nextToShed() {
        for (int tier = tiers.length - 1; tier >= 0; tier--) {
            if (tiers[tier].size() > 0) {
                return tiers[tier].nextToShed();
            }
        }
        throw new IllegalStateException("the queue is empty");
    }

    /**
     * Removes and returns the requests that can no longer be finished before their deadlines. The latest start of each
     * that is due is computed again first, since speeds may have changed while it waited.
     */
    List<WaitingRequest> expire(long now, ToLongFunction<PermitRequest> latestStart) {
        List<WaitingRequest> expired = new ArrayList<>();
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStart < now) {
            WaitingRequest due = byLatestStart.pollFirst();
            due.latestStart = latestStart.applyAsLong(due.request);
            byLatestStart.add(due);
            if (due.latestStart < now) {
                expired.add(remove(due.request.id()));
            }
        }
        return expired;
    }

    /** Returns when the next request expires, in microseconds; {@link Long#MAX_VALUE} where none waits. */
    long nextExpiry() {
        return byLatestStart.isEmpty() ? Long.MAX_VALUE : byLatestStart.first().latestStart + 1;
    }

    /** Returns the sizes of the requests in this and the more urgent tiers, which a new request waits for. */
    QueuedWork workAhead(Tier tier) {
        QueuedWork work = QueuedWork.NONE;
        for (int ahead = 0; ahead <= tier.ordinal(); ahead++) {
            work = work.plus(tiers[ahead].queuedWork());
        }
        return work;
    }

    List<PermitId> idsOfEntry(String node, long incarnation) {
        return byId.keySet().stream()
                .filter(id -> id.node().equals(node) && id.incarnation() == incarnation)
                .toList();
    }

    List<WaitingRequest> all() {
        return List.copyOf(byId.values());
    }

    void removeIdleOrganisations() {
        for (TierQueue tier : tiers) {
            tier.removeIdleOrganisations();
        }
    }
}
