package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.radishspur.decision.dispatch.UpstreamLoad.Timeliness;

/**
 * Chooses the upstream with a free slot that costs least for a request: its time per event, increased by its use, by a
 * change of the failure domain and by this scheduler's preference, and reduced by a cached prompt prefix.
 */
final class LeastCostChoice {
    /** Extra cost of a full upstream over an empty one, as a share; it spreads requests over equal upstreams. */
    private static final double UTILISATION_PENALTY = 0.5;

    /**
     * Cost factor of an upstream in another failure domain: equal upstreams of the own domain come first, as the operator
     * pays for traffic between domains and callers get the same. It is just above {@link #MAX_COST_SPREAD}, up to which
     * upstreams count as equal; a full engine in the own domain is still passed over for an empty one elsewhere, because
     * utilisation adds up to a half.
     */
    private static final double CROSS_DOMAIN_PENALTY = 1.3;

    /**
     * Maximum extra cost by which a scheduler's own preference sets equal upstreams apart. Each scheduler has another
     * order, so that schedulers with the same reports don't all choose the same upstream.
     */
    private static final double MAX_PREFERENCE = 0.15;

    /**
     * Share of a request's cost that a cached prefix saves at most: the cost of processing a prompt that is long
     * compared with the answer.
     */
    private static final double MAX_PREFIX_SAVING = 0.6;

    /**
     * Maximum difference in cost, as a share, among the upstreams of which one is drawn; less than the penalty for
     * another failure domain.
     */
    private static final double MAX_COST_SPREAD = 0.25;

    private final String ownDomain;
    private final SlotCapacity capacity;
    private final Random random;

    /**
     * Creates the choice of one scheduler.
     *
     * @param self the name of this scheduler, from which its draws are derived.
     * @param ownDomain the failure domain of this scheduler.
     * @param capacity the slots of the pool.
     */
    LeastCostChoice(String self, String ownDomain, SlotCapacity capacity) {
        this.ownDomain = ownDomain;
        this.capacity = capacity;
        this.random = new Random(self.hashCode());
    }

    /**
     * Chooses an upstream.
     *
     * @param usable the upstreams that may run the request, with free slots or without.
     * @param queued the request.
     * @param affinityTargets the upstreams that should cache its prompt prefix.
     * @param ratings how timely each upstream is likely to answer.
     * @param now the current time in milliseconds.
     * @return the upstream, or empty where none has a free slot.
     */
    Optional<UpstreamLoad> choose(
            List<UpstreamLoad> usable,
            QueuedRequest queued,
            Set<UpstreamLoad> affinityTargets,
            Map<UpstreamLoad, Timeliness> ratings,
            long now) {
        double fastestEventMillis = SpeedThreshold.shortestEventMillis(usable);
        List<UpstreamLoad> free = new ArrayList<>(usable);
        free.removeIf(load -> !capacity.hasFreeSlot(load, queued, now));
        // An upstream that fails at once always has most free slots, so that an ejected one would be chosen first.
        UpstreamFilter.INSTANCE.removeUnlessAll(free, load -> load.isEjected(now));
        List<Candidate> candidates = free.stream()
                .map(load -> new Candidate(
                        load,
                        ratings.get(load),
                        cost(load, queued, fastestEventMillis)
                                * prefixCostFactor(load, queued.requirements(), affinityTargets)))
                .sorted(Comparator.comparing(Candidate::timeliness).thenComparingDouble(Candidate::cost))
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(drawAmongBest(candidates, queued));
    }

    /**
     * Draws one of the upstreams whose costs are close to the least, weighted by their free slots.
     *
     * <p>The reports of other schedulers are tens to hundreds of milliseconds old. If all schedulers took the best slot
     * that they see, they would take the same one, and requests would wait inside one engine while others are idle.
     */
    private UpstreamLoad drawAmongBest(List<Candidate> candidates, QueuedRequest queued) {
        Candidate best = candidates.get(0);
        // A single scheduler counts all requests in progress itself, and takes the best upstream.
        double maxCost = best.cost() * (1 + MAX_COST_SPREAD * (1 - 1.0 / capacity.schedulerCount()));
        List<UpstreamLoad> similar = candidates.stream()
                .filter(each -> each.timeliness() == best.timeliness() && each.cost() <= maxCost)
                .map(Candidate::load)
                .toList();
        int free = similar.stream()
                .mapToInt(load -> capacity.freeSlots(load, queued))
                .sum();
        int remaining = free > 0 ? random.nextInt(free) : 0;
        for (UpstreamLoad load : similar) {
            remaining -= capacity.freeSlots(load, queued);
            if (remaining < 0) {
                return load;
            }
        }
        return best.load();
    }

    /** Returns the factor by which a cached prompt prefix reduces the cost of a request at an upstream. */
    private static double prefixCostFactor(
            UpstreamLoad load, QueuedRequest.Requirements requirements, Set<UpstreamLoad> affinityTargets) {
        if (!affinityTargets.contains(load)) {
            return 1;
        }
        double share = (double) requirements.prefix().tokens() / Math.max(1, requirements.promptTokens());
        return 1 - MAX_PREFIX_SAVING * Math.min(1, share);
    }

    private double cost(UpstreamLoad load, QueuedRequest queued, double fastestEventMillis) {
        // An upstream without measurements counts as one of the fastest, so that it is measured soon.
        double eventTime = load.isEventTimeKnown() ? load.eventMillis() : fastestEventMillis;
        double utilisation = 1 + UTILISATION_PENALTY * load.inProgress() / capacity.slots(load);
        boolean sameDomain = load.upstream().failureDomain().equals(queued.entryDomainOr(ownDomain));
        double penalty = sameDomain ? 1 : CROSS_DOMAIN_PENALTY;
        return eventTime * utilisation * penalty * (1 + MAX_PREFERENCE * load.preference());
    }

    /**
     * Holds an upstream with a free slot, and how well it suits a request.
     *
     * @param load the upstream.
     * @param timeliness how timely its answer is likely to be.
     * @param cost its relative cost; the least is best.
     */
    private record Candidate(UpstreamLoad load, Timeliness timeliness, double cost) {}
}
