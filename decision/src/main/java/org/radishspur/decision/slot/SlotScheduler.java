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
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.dispatch.VersionRule;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.RequestLimit;

/**
 * Grants slots at upstreams to the requests of several entries, with one queue per pool. The reports of the entries
 * update the load and the health of the upstreams.
 *
 * <p>A request is identified by its entry and a number that is unique within the entry. A scheduler stores nothing: an
 * entry that loses its scheduler attaches to another one, lists the slots that it holds and sends its queued requests
 * again.
 */
public final class SlotScheduler {
    private final Pools pools;
    private final QuotaLedger quotas;
    private final Listener listener;
    private final Map<String, Map<Long, TrackedRequest>> requestsByEntry = new HashMap<>();
    private final Map<QueuedRequest, TrackedRequest> queuedRequests = new HashMap<>();
    private final ConnectFailures connectFailures = new ConnectFailures();

    /**
     * Creates a scheduler without entries.
     *
     * @param pools the pools with their version rules and organisations.
     * @param quotas the quotas of the organisations.
     * @param listener receives the replies, the answers of upstreams and the ejections.
     */
    public SlotScheduler(Pools pools, QuotaLedger quotas, Listener listener) {
        this.pools = pools;
        this.quotas = quotas;
        this.listener = listener;
    }

    /**
     * Registers an entry. If it was registered before, its earlier requests are dropped first.
     *
     * @param entry the entry.
     * @param held the slots that the entry holds.
     * @param now the current time in milliseconds.
     */
    public void attach(String entry, Collection<HeldSlot> held, long now) {
        detach(entry, now);
        requestsByEntry.put(entry, new HashMap<>());
        held.forEach(slot -> adopt(entry, slot, now)
                .ifPresent(tracked -> tracked.upstream.recordHeld(tracked.queued, slot.pendingPromptTokens(), now)));
    }

    /**
     * Counts a slot that another scheduler has just granted.
     *
     * @param entry the entry that holds the slot.
     * @param held the slot.
     * @param now the current time in milliseconds.
     * @return the upstream, or empty if it is unknown to this scheduler; the slot isn't counted then.
     */
    public Optional<UpstreamLoad> recordGrant(String entry, HeldSlot held, long now) {
        Optional<TrackedRequest> adopted = adopt(entry, held, now);
        adopted.ifPresent(tracked -> tracked.upstream.recordSent(tracked.queued, held.pendingPromptTokens(), now));
        return adopted.map(tracked -> tracked.upstream);
    }

    private Optional<TrackedRequest> adopt(String entry, HeldSlot held, long now) {
        PoolDispatcher pool = pools.dispatcher(held.pool());
        return pool.upstreams().find(held.upstreamRun()).map(upstream -> {
            QueuedRequest queued = held.toQueuedRequest(now);
            TrackedRequest tracked = new TrackedRequest(entry, held.requestId(), pool, queued, Optional.empty(), 0);
            tracked.upstream = upstream;
            requestsOf(entry).put(held.requestId(), tracked);
            return tracked;
        });
    }

    /**
     * Processes a request for a slot, and sends the first reply to the listener before it returns.
     *
     * @param entry the entry that sent the request.
     * @param requestId the number of the request, unique within its entry.
     * @param request the request.
     * @param now the current time in milliseconds.
     */
    public void request(String entry, long requestId, SlotRequest request, long now) {
        Optional<OrganisationRule> organisation =
                request.quotaCost() > 0 ? pools.organisationRule(request.organisation()) : Optional.empty();
        Optional<Long> wait = organisation.flatMap(rule -> quotas.tryCharge(rule, request.quotaCost(), now));
        if (wait.isPresent()) {
            listener.onReply(entry, requestId, new SlotReply.Rejected(SlotReply.Reason.QUOTA, wait.get()));
            return;
        }
        PoolDispatcher pool = pools.dispatcher(request.pool());
        // Those that wait already get slots that are free by now first.
        advance(pool, now);
        QueuedRequest queued = request.toQueuedRequest(
                pools.versionRule(request.pool(), request.allowTrialVersion(), request.terms()), now);
        TrackedRequest tracked = new TrackedRequest(entry, requestId, pool, queued, organisation, request.quotaCost());
        requestsOf(entry).put(requestId, tracked);
        queuedRequests.put(queued, tracked);
        applyDecision(pool.offer(queued, now), now);
    }

    /**
     * Processes a report on a slot or a queued request. Reports on unknown requests are ignored.
     *
     * @param entry the entry that sent the report.
     * @param requestId the number of the request, unique within its entry.
     * @param report the report.
     * @param now the current time in milliseconds.
     */
    public void report(String entry, long requestId, SlotReport report, long now) {
        Map<Long, TrackedRequest> known = requestsByEntry.getOrDefault(entry, Map.of());
        TrackedRequest tracked = known.get(requestId);
        if (tracked == null) {
            return;
        }
        if (report instanceof SlotReport.Ended ended) {
            known.remove(requestId);
            endRequest(tracked, ended, now);
        } else if (tracked.upstream != null) {
            recordProgress(tracked, report, now);
        }
    }

    /**
     * Removes an entry that has disconnected: its queued requests are withdrawn and its slots become free.
     *
     * @param entry the entry.
     * @param now the current time in milliseconds.
     */
    public void detach(String entry, long now) {
        Map<Long, TrackedRequest> detached = requestsByEntry.remove(entry);
        if (detached != null) {
            detached.values().forEach(tracked -> release(tracked, SlotOutcome.ABANDONED, now));
            advance(now);
        }
    }

    /**
     * Grants slots that have become free, and rejects requests whose maximum wait has passed.
     *
     * @param now the current time in milliseconds.
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
     * @return the slots; empty for an unknown entry.
     */
    public List<HeldSlot> heldSlots(String entry) {
        return requestsByEntry.getOrDefault(entry, Map.of()).values().stream()
                .filter(tracked -> tracked.upstream != null)
                .map(TrackedRequest::toHeldSlot)
                .toList();
    }

    /**
     * Returns how many requests are queued.
     *
     * @return the number of requests in the queues of all pools.
     */
    public int queueLength() {
        return queuedRequests.size();
    }

    /**
     * Returns how many entries are attached.
     *
     * @return the number of entries.
     */
    public int entryCount() {
        return requestsByEntry.size();
    }

    private Map<Long, TrackedRequest> requestsOf(String entry) {
        return requestsByEntry.computeIfAbsent(entry, key -> new HashMap<>());
    }

    private void advance(PoolDispatcher pool, long now) {
        if (pool.queueLength() > 0) {
            pool.dispatchQueued(now).forEach(decision -> applyDecision(decision, now));
        }
    }

    private void applyDecision(Decision decision, long now) {
        TrackedRequest tracked = queuedRequests.get(decision.queued());
        if (tracked == null) {
            return;
        }
        if (decision instanceof Decision.Queued queued) {
            listener.onReply(tracked.entry, tracked.requestId, new SlotReply.Queued(queued.expectedWaitMillis()));
            return;
        }
        queuedRequests.remove(decision.queued());
        if (decision instanceof Decision.Granted granted) {
            tracked.upstream = granted.upstream();
            tracked.recordGrant(quotas, now);
            listener.onReply(
                    tracked.entry,
                    tracked.requestId,
                    new SlotReply.Granted(
                            granted.upstream().upstream(), granted.upstream().isEventTimeKnown()));
        } else if (decision instanceof Decision.Refused refused) {
            requestsOf(tracked.entry).remove(tracked.requestId);
            tracked.refundQuota(quotas);
            listener.onReply(
                    tracked.entry,
                    tracked.requestId,
                    new SlotReply.Rejected(
                            SlotReply.Reason.OVERLOAD,
                            refused.retryAfterMillis(),
                            refused.queueLength(),
                            refused.slots(),
                            refused.prospect()));
        }
    }

    private void recordLimit(UpstreamLoad upstream, RequestLimit stated, long now) {
        if (upstream.recordStatedLimit(stated, 0, now)) {
            listener.onLimitChanged(upstream);
        }
    }

    private void recordProgress(TrackedRequest tracked, SlotReport report, long now) {
        UpstreamLoad upstream = tracked.upstream;
        if (report instanceof SlotReport.FirstByte first) {
            first.limit().ifPresent(limit -> recordLimit(upstream, limit, now));
            markLeaving(upstream, first.leaving(), now);
            upstream.recordFirstByte(tracked.queued, tracked.queued.uncachedTokens(), first.elapsedMillis(), now);
        } else if (report instanceof SlotReport.FirstEventTime measured && upstream.ownEventMillis() == 0) {
            upstream.recordEventTime(measured.eventMillis(), 1);
        }
    }

    private void endRequest(TrackedRequest tracked, SlotReport.Ended ended, long now) {
        if (tracked.upstream != null) {
            ended.limit().ifPresent(limit -> recordLimit(tracked.upstream, limit, now));
            markLeaving(tracked.upstream, ended.leaving(), now);
            if (ended.restMillis() > 0) {
                excludeForEntry(tracked, now + ended.restMillis());
            }
            ended.outcome().notifyObserver(new OutcomeRecorder(tracked, now));
            tracked.pool.upstreams().pauses().recordStream(tracked.upstream, ended.longestPauseMillis());
            if (ended.eventMillis() > 0) {
                tracked.upstream.recordEventTime(ended.eventMillis(), 1);
            }
            if (ended.events() > 0) {
                tracked.pool.upstreams().outputLengths().add(ended.expectedTokens(), ended.events());
            }
            if (ended.outcome() == SlotOutcome.SUCCESS) {
                tracked.pool.recordCompletion(tracked.queued, ended.heldMillis());
                tracked.recordSlotTimes(ended, now);
            }
        }
        release(tracked, ended.outcome(), now);
        advance(tracked.pool, now);
    }

    private static void markLeaving(UpstreamLoad upstream, boolean leaving, long now) {
        if (leaving) {
            upstream.markLeaving(now);
        }
    }

    /** Keeps the requests of an entry that are queued from an upstream that asks this entry for rest. */
    private void excludeForEntry(TrackedRequest refused, long until) {
        int upstream = refused.upstream.run().hashCode();
        requestsOf(refused.entry).values().forEach(each -> each.queued.excludeUntil(upstream, until));
    }

    private void release(TrackedRequest tracked, SlotOutcome outcome, long now) {
        if (tracked.upstream == null) {
            queuedRequests.remove(tracked.queued);
            tracked.pool.withdraw(tracked.queued);
            tracked.refundQuota(quotas);
            return;
        }
        tracked.pool.release(tracked.upstream, tracked.queued, now);
        if (!outcome.keepsQuotaCharge()) {
            tracked.refundQuota(quotas);
        }
    }

    /**
     * Provides a scheduler with its pools, their version rules and the organisations.
     */
    public interface Pools {
        /**
         * Returns the dispatcher of a pool.
         *
         * @param pool the name of the pool.
         * @return the dispatcher; it has no upstreams if the pool is unknown or empty.
         */
        PoolDispatcher dispatcher(String pool);

        /**
         * Returns all dispatchers.
         *
         * @return the dispatchers.
         */
        Collection<PoolDispatcher> dispatchers();

        /**
         * Returns which versions may serve the next request of a pool.
         *
         * @param pool the name of the pool.
         * @param allowTrialVersion whether a version that a rollout is still trying may serve it.
         * @return the rule.
         */
        VersionRule versionRule(String pool, boolean allowTrialVersion);

        /**
         * Returns which versions may serve a request, considering where it may run.
         *
         * @param pool the name of the pool.
         * @param allowTrialVersion whether a version that a rollout is still trying may serve it.
         * @param terms what is stated about the request.
         * @return the rule; by default the one of all requests.
         */
        default VersionRule versionRule(String pool, boolean allowTrialVersion, RequestTerms terms) {
            return versionRule(pool, allowTrialVersion);
        }

        /**
         * Returns the rule of an organisation, which sets its quota.
         *
         * @param name the name of the organisation.
         * @return the rule, or empty if the organisation has no quota.
         */
        Optional<OrganisationRule> organisationRule(String name);
    }

    /**
     * Receives the replies of a scheduler and its findings about upstreams.
     */
    public interface Listener {
        /**
         * Receives a reply, to be sent to the entry.
         *
         * @param entry the entry that sent the request.
         * @param requestId the number of the request, unique within its entry.
         * @param reply the reply.
         */
        void onReply(String entry, long requestId, SlotReply reply);

        /**
         * Receives the result of an upstream's answer.
         *
         * @param upstream the upstream.
         * @param succeeded whether the answer was complete and no failure of the upstream.
         */
        void onResponse(UpstreamLoad upstream, boolean succeeded);

        /**
         * Receives the ejection of an upstream, which gets no requests for some time.
         *
         * @param upstream the upstream.
         * @param cause the cause in words, for the event log.
         */
        void onEjected(UpstreamLoad upstream, String cause);

        /**
         * Receives that an upstream states another limit than before, or none any more; ignored by default.
         *
         * @param upstream the upstream.
         */
        default void onLimitChanged(UpstreamLoad upstream) {}
    }

    /** Holds a request that is queued or has a slot; its upstream is null while it is queued. */
    private static final class TrackedRequest {
        private final String entry;
        private final long requestId;
        private final PoolDispatcher pool;
        private final QueuedRequest queued;
        private final Optional<OrganisationRule> organisation;
        private final double quotaCost;
        private UpstreamLoad upstream;
        private long grantedAt;

        TrackedRequest(
                String entry,
                long requestId,
                PoolDispatcher pool,
                QueuedRequest queued,
                Optional<OrganisationRule> organisation,
                double quotaCost) {
            this.entry = entry;
            this.requestId = requestId;
            this.pool = pool;
            this.queued = queued;
            this.organisation = organisation;
            this.quotaCost = quotaCost;
        }

        void recordGrant(QuotaLedger quotas, long now) {
            grantedAt = now;
            organisation.ifPresent(rule -> quotas.recordGrant(rule, quotaCost, now));
        }

        void recordSlotTimes(SlotReport.Ended ended, long now) {
            // A slot that another scheduler granted has no time of its grant here.
            if (grantedAt > 0) {
                pool.upstreams().recordSlotTimes(queued.isPlainCall(), now - grantedAt, ended.heldMillis());
            }
        }

        void refundQuota(QuotaLedger quotas) {
            if (upstream == null) {
                organisation.ifPresent(rule -> quotas.refund(rule, quotaCost));
            } else {
                organisation.ifPresent(rule -> quotas.refundGranted(rule, quotaCost, grantedAt));
            }
        }

        HeldSlot toHeldSlot() {
            return new HeldSlot(
                    requestId,
                    upstream.upstream().pool(),
                    upstream.run(),
                    queued.uncachedTokens(),
                    queued.requirements().tier());
        }
    }

    /** Applies an outcome to the load and the health of the upstream of one slot. */
    private final class OutcomeRecorder implements SlotOutcome.OutcomeObserver {
        private final TrackedRequest tracked;
        private final UpstreamLoad upstream;
        private final long now;

        OutcomeRecorder(TrackedRequest tracked, long now) {
            this.tracked = tracked;
            this.upstream = tracked.upstream;
            this.now = now;
        }

        /** {@inheritDoc} */
        @Override
        public void recordAnswer(boolean succeeded) {
            boolean wasOnProbation = upstream.isOnProbation();
            upstream.recordOutcome(succeeded, tracked.pool.upstreams().usualFailureShare(), now);
            if (!wasOnProbation && upstream.isOnProbation()) {
                listener.onEjected(upstream, "failures");
            }
            listener.onResponse(upstream, succeeded);
        }

        /** {@inheritDoc} */
        @Override
        public void recordBrokenConnection() {
            if (upstream.recordConnectionBreak(now)) {
                recordAnswer(false);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void recordRefusal() {
            upstream.recordRefusal(now);
        }

        /** {@inheritDoc} */
        @Override
        public void recordReplacement() {
            upstream.markReplaced();
            listener.onEjected(upstream, "another instance answers");
        }

        /** {@inheritDoc} */
        @Override
        public void recordConnectFailure() {
            boolean confirmed =
                    upstream.isOnProbation() || connectFailures.recordAndConfirm(upstream, tracked.entry, now);
            if (confirmed || requestsByEntry.size() <= 1) {
                upstream.recordConnectFailure(now);
                listener.onEjected(upstream, "no connection");
            }
        }
    }
}
