package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import org.radishspur.decision.upstream.UpstreamState;
import org.radishspur.model.request.Tier;

/** Selects the waiting request of a tier that is granted next, and its upstream. */
final class GrantSelector {
    /** How many organisations are considered for a grant, each with its next request. */
    private static final int MAX_CANDIDATES_PER_TIER = 8;

    /** How often a request that is first in order may wait for requests with a larger cached share. */
    private static final int MAX_TIMES_PASSED_OVER = 8;

    /** By how much the cached share of a prompt must be larger for its request to be preferred. */
    private static final double MIN_CACHED_SHARE_GAIN = 0.1;

    private final SchedulerOptions options;
    private final WaitingQueue queue;
    private final UpstreamSelector selector;

    GrantSelector(SchedulerOptions options, WaitingQueue queue, UpstreamSelector selector) {
        this.options = options;
        this.queue = queue;
        this.selector = selector;
    }

    /**
     * Selects one request of a tier for which there is an upstream.
     *
     * <p>This is usually the first such request in order. The next request of another organisation is granted before it
     * if a larger share of its prompt is cached, but no request is passed over more than {@link #MAX_TIMES_PASSED_OVER}
     * times.
     *
     * @param tier the tier.
     * @param reserved how many slots are reserved for more urgent tiers.
     * @param fastestFirst the upstreams with free slots.
     * @param now the current time in microseconds.
     * @return the request and its upstream, or empty where there is none.
     */
    Optional<Selection> select(Tier tier, int reserved, List<UpstreamState> fastestFirst, long now) {
        List<UpstreamState> available = withUnreservedSlots(reserved, fastestFirst, now);
        if (available.isEmpty()) {
            return Optional.empty();
        }
        Iterator<WaitingRequest> heads = queue.tier(tier).heads();
        WaitingRequest first = null;
        Selection best = null;
        double bestCached = -1;
        for (int tried = 0; tried < MAX_CANDIDATES_PER_TIER && heads.hasNext(); tried++) {
            WaitingRequest candidate = heads.next();
            UpstreamState upstream = selector.choose(candidate.request, available, now);
            if (upstream == null) {
                continue;
            }
            first = first == null ? candidate : first;
            double cached = upstream.cachedShare(candidate.request.size());
            if (cached > bestCached + MIN_CACHED_SHARE_GAIN) {
                best = new Selection(candidate, upstream);
                bestCached = cached;
            }
            if (!options.reusesPrefixes() || first.timesPassedOver >= MAX_TIMES_PASSED_OVER) {
                break;
            }
        }
        if (best != null && best.waiting() != first) {
            first.timesPassedOver++;
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the upstreams that have free slots besides the reserved ones. The free slots of the fastest upstreams are
     * reserved, since the most urgent requests may be unable to meet their deadlines on a slow one.
     */
    private static List<UpstreamState> withUnreservedSlots(int reserved, List<UpstreamState> fastestFirst, long now) {
        List<UpstreamState> available = new ArrayList<>();
        int remainingReserve = reserved;
        for (UpstreamState upstream : fastestFirst) {
            int slots = upstream.freeSlots(now);
            if (slots > remainingReserve) {
                available.add(upstream);
            }
            remainingReserve = Math.max(0, remainingReserve - slots);
        }
        return available;
    }

    /**
     * Holds a request to grant.
     *
     * @param waiting the request.
     * @param upstream the upstream that runs it.
     */
    record Selection(WaitingRequest waiting, UpstreamState upstream) {}
}
