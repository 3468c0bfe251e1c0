package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.PoolDispatcher.Decision;
import org.radishspur.decision.dispatch.QueuedRequest;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.dispatch.VersionRule;
import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Grants slots to the requests of several entries out of one queue a pool, and learns from what the entries report.
 *
 * <p>A request is named by its entry and a number of its own. A scheduler keeps nothing that must survive: an entry that loses
 * it attaches to another one, says what it has in progress and asks again for what was waiting.
 */
public final class SlotScheduler {
    private final Pools pools;
    private final QuotaLedger quotas;
    private final Listener listener;
    private final Map<String, Map<Long, Holding>> entries = new HashMap<>();
    private final Map<QueuedRequest, Holding> undecided = new HashMap<>();
    private final ConnectFailures connectFailures = new ConnectFailures();

    /**
     * Creates a scheduler without entries.
     *
     * @param pools the pools and what is in force for them.
     * @param quotas what organisations may use.
     * @param listener takes the replies and what was learnt.
     */
    public SlotScheduler(Pools pools, QuotaLedger quotas, Listener listener) {
        this.pools = pools;
        this.quotas = quotas;
        this.listener = listener;
    }

    /**
     * Begins to serve an entry, whose earlier requests here are forgotten.
     *
     * @param entry the entry.
     * @param held the slots that it holds.
     * @param now the clock in milliseconds.
     */
    public void attach(String entry, Collection<HeldSlot> held, long now) {
        detach(entry, now);
        entries.put(entry, new HashMap<>());
        held.forEach(slot -> adopt(entry, slot, now));
    }

    /**
     * Counts a slot that was granted elsewhere.
     *
     * @param entry the entry that holds it.
     * @param held the slot.
     * @param now the clock in milliseconds.
     * @return the upstream, or nothing where it is unknown here and the slot isn't counted.
     */
    public Optional<UpstreamLoad> adopt(String entry, HeldSlot held, long now) {
        PoolDispatcher pool = pools.dispatcher(held.pool());
        Optional<UpstreamLoad> found = pool.upstreams().find(held.run());
        found.ifPresent(upstream -> {
            QueuedRequest queued = held.toQueued(now);
            Holding holding = new Holding(entry, held.id(), pool, queued, Optional.empty(), 0);
            holding.upstream = upstream;
            upstream.began(queued, held.promptTokens(), now);
            holdings(entry).put(held.id(), holding);
        });
        return found;
    }

    /**
     * Takes a request for a slot, and replies at once.
     *
     * @param entry the entry that asks.
     * @param id the number of the request at its entry.
     * @param request what is asked.
     * @param now the clock in milliseconds.
     */
    public void request(String entry, long id, SlotRequest request, long now) {
        Optional<OrganisationRule> organisation =
                request.cost() > 0 ? pools.organisation(request.organisation()) : Optional.empty();
        Optional<Long> wait = organisation.flatMap(rule -> quotas.take(rule, request.cost(), request.returning(), now));
        if (wait.isPresent()) {
            listener.onReply(entry, id, new SlotReply.Rejected(SlotReply.Reason.QUOTA, wait.get()));
            return;
        }
        PoolDispatcher pool = pools.dispatcher(request.pool());
        QueuedRequest queued = request.toQueued(pools.versions(request.pool(), request.mayTry()), now);
        Holding holding = new Holding(entry, id, pool, queued, organisation, request.cost());
        holdings(entry).put(id, holding);
        undecided.put(queued, holding);
        onDecision(pool.offer(queued, now));
    }

    /**
     * Takes a report on a slot. One on a slot that isn't known here says nothing new.
     *
     * @param entry the entry that reports.
     * @param id the number of the request at its entry.
     * @param report the report.
     * @param now the clock in milliseconds.
     */
    public void report(String entry, long id, SlotReport report, long now) {
        Map<Long, Holding> known = entries.getOrDefault(entry, Map.of());
        Holding holding = known.get(id);
        if (holding == null) {
            return;
        }
        if (report instanceof SlotReport.Ended ended) {
            known.remove(id);
            end(holding, ended, now);
        } else if (holding.upstream != null) {
            learn(holding, report, now);
        }
    }

    /**
     * Forgets an entry that is gone: its undecided requests are withdrawn and its slots are free.
     *
     * @param entry the entry.
     * @param now the clock in milliseconds.
     */
    public void detach(String entry, long now) {
        Map<Long, Holding> left = entries.remove(entry);
        if (left != null) {
            left.values().forEach(holding -> release(holding, SlotOutcome.ABANDONED, now));
            advance(now);
        }
    }

    /**
     * Grants slots that have become free, and rejects requests for which waiting makes no sense any more.
     *
     * @param now the clock in milliseconds.
     */
    public void advance(long now) {
        for (PoolDispatcher pool : new ArrayList<>(pools.dispatchers())) {
            advance(pool, now);
        }
    }

    /**
     * Returns the slots that an entry holds.
     *
     * @param entry the entry.
     * @return the slots.
     */
    public List<HeldSlot> held(String entry) {
        return entries.getOrDefault(entry, Map.of()).values().stream()
                .filter(holding -> holding.upstream != null)
                .map(Holding::toHeld)
                .toList();
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number.
     */
    public int waiting() {
        return undecided.size();
    }

    /**
     * Returns how many entries are served.
     *
     * @return the number.
     */
    public int entries() {
        return entries.size();
    }

    private Map<Long, Holding> holdings(String entry) {
        return entries.computeIfAbsent(entry, key -> new HashMap<>());
    }

    private void advance(PoolDispatcher pool, long now) {
        if (pool.waiting() > 0) {
            pool.advance(now).forEach(this::onDecision);
        }
    }

    private void onDecision(Decision decision) {
        Holding holding = undecided.get(decision.queued());
        if (holding == null) {
            return;
        }
        if (decision instanceof Decision.Waits waits) {
            listener.onReply(holding.entry, holding.id, new SlotReply.Queued(waits.expectedMillis()));
            return;
        }
        undecided.remove(decision.queued());
        if (decision instanceof Decision.Granted granted) {
            holding.upstream = granted.upstream();
            listener.onReply(
                    holding.entry,
                    holding.id,
                    new SlotReply.Granted(
                            granted.upstream().upstream(), granted.upstream().isEventTimeKnown()));
        } else if (decision instanceof Decision.Refused refused) {
            holdings(holding.entry).remove(holding.id);
            holding.refund(quotas);
            listener.onReply(
                    holding.entry,
                    holding.id,
                    new SlotReply.Rejected(
                            SlotReply.Reason.OVERLOAD, refused.retryAfterMillis(), refused.waiting(), refused.slots()));
        }
    }

    private static void learn(Holding holding, SlotReport report, long now) {
        UpstreamLoad upstream = holding.upstream;
        if (report instanceof SlotReport.FirstByte first) {
            upstream.answered(holding.queued, holding.queued.unreadTokens(), first.millis(), now);
        } else if (report instanceof SlotReport.FirstEventTime pace && upstream.ownEventMillis() == 0) {
            upstream.recordEventTime(pace.eventMillis(), 1);
        }
    }

    private void end(Holding holding, SlotReport.Ended ended, long now) {
        if (holding.upstream != null) {
            ended.outcome().showTo(new UpstreamEvidence(holding, now));
            if (ended.eventMillis() > 0) {
                holding.upstream.recordEventTime(ended.eventMillis(), 1);
            }
            if (ended.events() > 0) {
                holding.pool.upstreams().outputs().add(ended.expectedTokens(), ended.events());
            }
            if (ended.outcome() == SlotOutcome.SUCCESS) {
                holding.pool.answered(holding.queued, ended.heldMillis());
            }
        }
        release(holding, ended.outcome(), now);
        advance(holding.pool, now);
    }

    private void release(Holding holding, SlotOutcome outcome, long now) {
        if (holding.upstream == null) {
            undecided.remove(holding.queued);
            holding.pool.withdraw(holding.queued);
            holding.refund(quotas);
            return;
        }
        holding.pool.release(holding.upstream, holding.queued, now);
        if (!outcome.mayHaveRun()) {
            holding.refund(quotas);
        }
    }

    /**
     * Gives a scheduler its pools and what is in force for them.
     */
    public interface Pools {
        /**
         * Returns the dispatcher of a pool.
         *
         * @param pool the pool.
         * @return the dispatcher, which may have no upstreams.
         */
        PoolDispatcher dispatcher(String pool);

        /**
         * Returns all dispatchers.
         *
         * @return the dispatchers.
         */
        Collection<PoolDispatcher> dispatchers();

        /**
         * Says which versions may serve the next request of a pool.
         *
         * @param pool the pool.
         * @param mayTry whether a version under trial may.
         * @return the rule.
         */
        VersionRule versions(String pool, boolean mayTry);

        /**
         * Finds the rule of an organisation.
         *
         * @param name the organisation.
         * @return its rule, or nothing where it has no quota.
         */
        Optional<OrganisationRule> organisation(String name);
    }

    /**
     * Takes what a scheduler decides and learns.
     */
    public interface Listener {
        /**
         * Takes a reply.
         *
         * @param entry the entry that asked.
         * @param id the number of the request at its entry.
         * @param reply the reply.
         */
        void onReply(String entry, long id, SlotReply reply);

        /**
         * Takes an answer of an upstream.
         *
         * @param upstream the upstream.
         * @param good whether it was whole and no failure of the upstream.
         */
        void onAnswer(UpstreamLoad upstream, boolean good);

        /**
         * Learns that an upstream gets nothing for a moment.
         *
         * @param upstream the upstream.
         * @param cause why.
         */
        void onEjected(UpstreamLoad upstream, String cause);
    }

    /** Holds a request that waits or has a slot. */
    private static final class Holding {
        private final String entry;
        private final long id;
        private final PoolDispatcher pool;
        private final QueuedRequest queued;
        private final Optional<OrganisationRule> organisation;
        private final double cost;
        private UpstreamLoad upstream;

        Holding(
                String entry,
                long id,
                PoolDispatcher pool,
                QueuedRequest queued,
                Optional<OrganisationRule> organisation,
                double cost) {
            this.entry = entry;
            this.id = id;
            this.pool = pool;
            this.queued = queued;
            this.organisation = organisation;
            this.cost = cost;
        }

        void refund(QuotaLedger quotas) {
            organisation.ifPresent(rule -> quotas.giveBack(rule, cost));
        }

        HeldSlot toHeld() {
            return new HeldSlot(
                    id,
                    upstream.upstream().pool(),
                    upstream.run(),
                    queued.unreadTokens(),
                    queued.work().tier());
        }
    }

    /** Applies what an outcome shows to the upstream of one slot. */
    private final class UpstreamEvidence implements SlotOutcome.Evidence {
        private final Holding holding;
        private final UpstreamLoad upstream;
        private final long now;

        UpstreamEvidence(Holding holding, long now) {
            this.holding = holding;
            this.upstream = holding.upstream;
            this.now = now;
        }

        /** {@inheritDoc} */
        @Override
        public void answered(boolean good) {
            boolean before = upstream.isOnProbation();
            upstream.recordOutcome(good, holding.pool.upstreams().usualFailures(), now);
            if (!before && upstream.isOnProbation()) {
                listener.onEjected(upstream, "failures");
            }
            listener.onAnswer(upstream, good);
        }

        /** {@inheritDoc} */
        @Override
        public void broke() {
            if (upstream.broke(now)) {
                answered(false);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void markReplaced() {
            upstream.markReplaced();
            listener.onEjected(upstream, "another instance answers");
        }

        /** {@inheritDoc} */
        @Override
        public void unreachable() {
            boolean known = upstream.isOnProbation() || connectFailures.confirms(upstream, holding.entry, now);
            if (known || entries.size() <= 1) {
                upstream.recordConnectFailure(now);
                listener.onEjected(upstream, "no connection");
            }
        }
    }
}
