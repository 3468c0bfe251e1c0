package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.decision.move.VersionComparison;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.decision.upstream.InFlightRequest;
import org.radishspur.decision.upstream.UpstreamState;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.UpstreamRow;

/**
 * Decides for one pool which waiting request runs next and on which upstream. Callers report events with the current
 * time; {@link #decide} returns the resulting {@link PermitAction}s. Instances are used by one thread, the control
 * thread of the pool's owner. All times are in microseconds unless a name gives another unit.
 */
public final class PoolScheduler {
    private static final double MICROS_PER_MILLI = 1_000;

    private static final int MAX_FINISHED_ATTEMPTS = 20_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    /** The interval at which slow upstreams are detected and idle organisations removed. */
    private static final long HOUSEKEEPING_INTERVAL_MICROS = 100_000;

    /** How long requests wait without a grant before this is reported, and how often it is reported again. */
    private static final long STALL_REPORT_MICROS = 3_000_000;

    private final SchedulerOptions options;
    private final OutputLengthCorrection outputLengths = new OutputLengthCorrection();
    private final WaitingQueue queue = new WaitingQueue();
    private final Map<String, UpstreamState> upstreams = new LinkedHashMap<>();
    private Set<String> evacuated = Set.of();

    /** The name of the upstream of each attempt in flight. */
    private final Map<PermitId, String> inFlight = new HashMap<>();

    /** The answer length that each attempt announced, before its correction. */
    private final Map<PermitId, Integer> announcedOutputTokens = new HashMap<>();

    /** The last lost incarnation of each entry node, unless it is back. */
    private final Map<String, Long> lostEntries = new HashMap<>();

    private final FinishedAttempts finishedAttempts = new FinishedAttempts(MAX_FINISHED_ATTEMPTS);
    private final CrashSuspects crashSuspects;
    private final PrefixSuspects prefixSuspects;
    private final PoolSpeeds speeds = new PoolSpeeds();
    private final DeadlineEstimator deadlines;
    private final VersionRouting versionRouting = new VersionRouting();
    private final SlotReserve slotReserve = new SlotReserve();
    private final List<PermitAction> actions = new ArrayList<>();
    private final Ejector ejector;
    private final GrantSelector grants;
    private PoolRow row;
    private long sequence;
    private long grantsPausedUntil;
    private long nextHousekeepingAt;

    /** When a request was last granted, or when the first one arrived at an empty queue. */
    private long lastProgressAt;

    private long stallReportedAt;

    /**
     * Creates the scheduler of a pool.
     *
     * @param row the pool.
     * @param options the scheduling policy.
     * @param owner a text that no other owner of the pool has used, for the identifiers of crashes.
     */
    public PoolScheduler(PoolRow row, SchedulerOptions options, String owner) {
        this.options = options;
        this.crashSuspects = new CrashSuspects(owner);
        this.prefixSuspects = new PrefixSuspects(owner);
        this.deadlines = new DeadlineEstimator(options, upstreams, queue, speeds);
        this.ejector = new Ejector(options, upstreams, actions);
        this.grants = new GrantSelector(options, queue, new UpstreamSelector(crashSuspects, versionRouting, speeds));
        configure(row);
    }

    /**
     * Applies a changed row of the pool. An upstream that the row no longer names gets no new requests and is kept
     * while it has requests in flight.
     *
     * @param changed the row.
     */
    public void configure(PoolRow changed) {
        row = changed;
        prefixSuspects.setPool(changed.name());
        Map<String, UpstreamRow> rowsByName = new HashMap<>();
        for (UpstreamRow upstream : changed.upstreams()) {
            rowsByName.put(upstream.name(), upstream);
            UpstreamState state = upstreams.get(upstream.name());
            if (state == null) {
                upstreams.put(upstream.name(), create(upstream));
            } else {
                state.row(upstream);
            }
        }
        upstreams.values().stream()
                .filter(state -> !rowsByName.containsKey(state.name()))
                .forEach(UpstreamState::remove);
        upstreams
                .values()
                .removeIf(state -> !rowsByName.containsKey(state.name())
                        && state.inFlight().isEmpty());
        speeds.expire();
    }

    /**
     * Grants no permit until a time, so that entries can first register the permits that an earlier owner granted them.
     *
     * @param until the time in microseconds.
     */
    public void pauseGrantsUntil(long until) {
        grantsPausedUntil = until;
    }

    /**
     * Queues or refuses a request for a permit. A duplicate request changes nothing, but if it is in flight, its grant
     * is sent again.
     *
     * @param request the request.
     * @param now the current time in microseconds.
     */
    public void submit(PermitRequest request, long now) {
        String grantedUpstream = inFlight.get(request.id());
        if (grantedUpstream != null) {
            actions.add(new PermitAction.Grant(request.id(), grantedUpstream));
            return;
        }
        if (queue.contains(request.id()) || finishedAttempts.contains(request.id())) {
            return;
        }
        slotReserve.arrived(request.tier(), now);
        if (refuseIfSuspected(request, now)) {
            return;
        }
        RequestSize size = outputLengths.correct(request);
        PermitRequest corrected = new PermitRequest(
                request.id(),
                request.tier(),
                request.organisation(),
                request.route(),
                request.deadlineAt(),
                size,
                request.fingerprint());
        announcedOutputTokens.put(request.id(), request.size().outputTokens());
        admit(corrected, now);
    }

    /**
     * Cancels a request that waits or is in flight.
     *
     * @param id the attempt.
     * @param now the current time in microseconds.
     */
    public void cancel(PermitId id, long now) {
        if (queue.remove(id) != null) {
            markFinished(id);
        } else {
            finish(id, PermitOutcome.of(PermitOutcome.Ending.CANCELLED), now);
        }
    }

    /**
     * Records that the first token of an answer was received.
     *
     * @param id the attempt.
     * @param now the current time in microseconds.
     */
    public void firstToken(PermitId id, long now) {
        String upstream = inFlight.get(id);
        if (upstream != null) {
            upstreams.get(upstream).firstToken(id, now);
        }
    }

    /**
     * Records whether the upstream of a request in flight is silent: it has sent nothing for longer than the time
     * allowed. The first silence of each attempt counts as its failure, whatever becomes of the attempt.
     *
     * @param id the attempt; one that is not in flight changes nothing.
     * @param silent whether the upstream is silent now.
     * @param now the current time in microseconds.
     */
    public void silenceReported(PermitId id, boolean silent, long now) {
        String name = inFlight.get(id);
        if (name == null) {
            return;
        }
        UpstreamState upstream = upstreams.get(name);
        InFlightRequest flight = upstream.inFlight().get(id);
        if (!silent) {
            upstream.wentOn(flight);
        } else if (!flight.isSilent()) {
            boolean first = !flight.wasSilent();
            if (first) {
                PermitOutcome timedOut = new PermitOutcome(PermitOutcome.Ending.TIMED_OUT, 0, flight.elapsed(now), 0);
                recordOutcome(upstream, flight, timedOut, now);
            }
            upstream.fellSilent(flight);
            slotReserve.released(now);
        }
    }

    /**
     * Releases a permit and updates the estimates from its outcome.
     *
     * @param id the attempt; one that is not in flight changes nothing.
     * @param outcome how the permit was used.
     * @param now the current time in microseconds.
     */
    public void finish(PermitId id, PermitOutcome outcome, long now) {
        String name = inFlight.remove(id);
        if (name == null) {
            return;
        }
        speeds.refreshIfStale(upstreams.values(), now);
        UpstreamState upstream = upstreams.get(name);
        InFlightRequest flight = upstream.end(id);
        Integer tokens = announcedOutputTokens.get(id);
        markFinished(id);
        if (!flight.isSilent()) {
            slotReserve.released(now);
        }
        recordOutcome(upstream, flight, outcome, now);
        if (outcome.ending() == PermitOutcome.Ending.ANSWERED) {
            PermitRequest request = flight.request();
            if (tokens != null) {
                outputLengths.addSample(request, tokens, outcome.outputTokens());
            }
            double estimated =
                    costOf(request.size().promptTokens(), request.size().outputTokens());
            double actual = costOf(request.size().promptTokens(), outcome.outputTokens());
            deadlines.recordCost(estimated, actual);
            queue.tier(request.tier()).charge(request.organisation(), actual - estimated);
        }
    }

    /**
     * Registers a permit that an earlier owner granted and that is still in use.
     *
     * @param request the request in flight.
     * @param upstream the upstream that runs it.
     * @param now the current time in microseconds.
     */
    public void registerInFlight(PermitRequest request, String upstream, long now) {
        UpstreamState state = upstreams.get(upstream);
        if (state == null || inFlight.containsKey(request.id()) || finishedAttempts.contains(request.id())) {
            return;
        }
        queue.remove(request.id());
        inFlight.put(request.id(), upstream);
        state.start(request, false, now);
    }

    /**
     * Releases the permits and removes the waiting requests of an entry process that the process itself doesn't list.
     * Such a difference arises when a message is lost.
     *
     * @param node the entry node.
     * @param incarnation the incarnation of its process that sent the list.
     * @param known all attempts that the process has waiting or in flight.
     * @param graceMicros the time after its grant in which a permit is kept although it is not listed, since the grant
     *     may not have been received yet.
     * @param now the current time in microseconds.
     */
    public void reconcile(String node, long incarnation, Set<PermitId> known, long graceMicros, long now) {
        List<PermitId> leaked = inFlight.keySet().stream()
                .filter(id -> id.node().equals(node) && id.incarnation() == incarnation && !known.contains(id))
                .filter(id -> upstreams.get(inFlight.get(id)).inFlight().get(id).elapsed(now) > graceMicros)
                .toList();
        leaked.forEach(id -> finish(id, PermitOutcome.of(PermitOutcome.Ending.UNUSED), now));
        queue.idsOfEntry(node, incarnation).stream()
                .filter(id -> !known.contains(id))
                .toList()
                .forEach(id -> {
                    queue.remove(id);
                    markFinished(id);
                });
    }

    /**
     * Drops all waiting requests and permits of an entry process that has been lost.
     *
     * @param node the entry node.
     * @param incarnation the incarnation of its process that has been lost.
     */
    public void dropEntry(String node, long incarnation) {
        lostEntries.put(node, incarnation);
        queue.idsOfEntry(node, incarnation).forEach(id -> {
            queue.remove(id);
            markDropped(id);
        });
        List<PermitId> attempts = inFlight.keySet().stream()
                .filter(id -> id.node().equals(node) && id.incarnation() == incarnation)
                .toList();
        for (PermitId id : attempts) {
            upstreams.get(inFlight.remove(id)).end(id);
            crashSuspects.ended(id);
            prefixSuspects.ended(id);
            markDropped(id);
        }
    }

    /**
     * Accepts again the attempts of an entry process that were dropped, since the process was not lost after all.
     *
     * @param node the entry node.
     * @param incarnation the incarnation of its process that is back.
     */
    public void readmitEntry(String node, long incarnation) {
        if (lostEntries.remove(node, incarnation)) {
            finishedAttempts.forgetDropped(node, incarnation);
        }
    }

    /**
     * Records that an upstream is leaving, as reported by itself, by the host list or by a refusal.
     *
     * @param upstream the name of the upstream.
     */
    public void markLeaving(String upstream) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.markLeaving();
            speeds.expire();
        }
    }

    /**
     * Records that an upstream was seen alive.
     *
     * @param upstream the name of the upstream.
     * @param incarnation the incarnation of its process that was seen.
     */
    public void markAlive(String upstream, long incarnation) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.markAlive(incarnation);
            speeds.expire();
        }
    }

    /**
     * Applies an upstream's report of its load, which is stale by the time that it took to arrive.
     *
     * @param upstream the name of the upstream.
     * @param running the number of requests that it reports as running.
     * @param waiting the number of requests that it reports as waiting in its own queue.
     * @param now the current time in microseconds.
     */
    public void loadReported(String upstream, int running, int waiting, long now) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.loadReported(running, waiting, now);
        }
    }

    /**
     * Applies an engine's report of changes in its cache.
     *
     * @param upstream the name of the upstream.
     * @param number the sequence number of the report.
     * @param added the blocks that the engine has added to its cache.
     * @param removed the blocks that the engine has evicted.
     */
    public void cacheChanged(String upstream, long number, List<Long> added, List<Long> removed) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.prefixes().applyCacheEvent(number, added, removed);
        }
    }

    /**
     * Sets the failure domains whose upstreams get no new requests. Requests in flight there continue.
     *
     * @param failureDomains the evacuated failure domains.
     */
    public void evacuate(Set<String> failureDomains) {
        evacuated = failureDomains;
        upstreams.values().forEach(upstream -> upstream.evacuate(failureDomains));
    }

    /**
     * Replaces the crash counts that all owners agree on, and refuses the waiting requests that were in flight at too
     * many crashes.
     *
     * @param crashCounts the number of crashes by fingerprint.
     * @param now the current time in microseconds.
     */
    public void replaceCrashCounts(Map<String, Integer> crashCounts, long now) {
        crashSuspects.replaceAgreedCounts(crashCounts);
        refuseWaitingSuspects(now);
    }

    private void refuseWaitingSuspects(long now) {
        for (WaitingRequest waiting : queue.all()) {
            if (refuseIfSuspected(waiting.request, now)) {
                queue.remove(waiting.request.id());
            }
        }
    }

    /** Refuses a request that was in flight at too many crashes, or whose beginning was; returns whether it did. */
    private boolean refuseIfSuspected(PermitRequest request, long now) {
        long prefixMillis = prefixSuspects.refusedForMillis(request, now);
        if (crashSuspects.isRefused(request.fingerprint())) {
            refuseSuspect(request.id(), "The request was in flight at repeated crashes.", MAX_RETRY_AFTER_MILLIS);
            return true;
        }
        if (prefixMillis > 0) {
            refuseSuspect(request.id(), "Requests that begin alike were in flight at repeated crashes.", prefixMillis);
        }
        return prefixMillis > 0;
    }

    private void refuseSuspect(PermitId id, String text, long retryAfterMillis) {
        refuse(id, Refusal.notRun(RefusalReason.CRASH_SUSPECT, text, retryAfterMillis));
    }

    /**
     * Replaces the splits of routes between versions.
     *
     * @param splits the splits by route; a route without a split uses any version.
     */
    public void replaceVersionSplits(Map<String, VersionSplit> splits) {
        versionRouting.replaceSplits(splits);
    }

    /**
     * Returns the comparison of the new version of a route with the old one during a move.
     *
     * @param route the route.
     * @return the comparison, without outcomes of the new version until a request to it is answered or fails.
     */
    public VersionComparison versionComparison(String route) {
        return versionRouting.comparison(route);
    }

    /**
     * Stops granting requests of a route to the new version of its present move. This takes effect before the other
     * owners agree.
     *
     * @param route the route.
     */
    public void haltNewVersion(String route) {
        versionRouting.haltNewVersion(route);
    }

    /**
     * Refuses the requests that can no longer meet their deadlines, grants permits for free slots and returns all
     * decisions.
     *
     * @param now the current time in microseconds.
     * @return the decisions since the last call.
     */
    public List<PermitAction> decide(long now) {
        for (WaitingRequest expired : queue.expire(now, request -> deadlines.latestStart(request, now))) {
            refuseForDeadline(expired.request, now);
        }
        if (now >= nextHousekeepingAt) {
            nextHousekeepingAt = now + HOUSEKEEPING_INTERVAL_MICROS;
            ejector.ejectSlowUpstreams(now);
            queue.removeIdleOrganisations();
        }
        ejector.readmitOneIfAllEjected(now);
        if (now >= grantsPausedUntil) {
            grantAll(now);
        }
        reportStall(now);
        List<PermitAction> decided = new ArrayList<>(actions);
        actions.clear();
        return decided;
    }

    /**
     * Returns when {@link #decide} has to be called at the latest, even without a new event.
     *
     * @return the time in microseconds.
     */
    public long nextDecisionAt() {
        return Math.min(queue.nextExpiry(), nextHousekeepingAt);
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return the number.
     */
    public int waitingCount() {
        return queue.size();
    }

    /**
     * Returns the number of permits in use.
     *
     * @return the number.
     */
    public int permitsInUse() {
        return inFlight.size();
    }

    /**
     * Returns the upstreams of the pool.
     *
     * @return the upstreams.
     */
    public Collection<UpstreamState> upstreams() {
        return upstreams.values();
    }

    private UpstreamState create(UpstreamRow upstream) {
        UpstreamState created =
                new UpstreamState(upstream, row.kind() == PoolKind.ENGINE, row.concurrencyLimit(), options);
        created.evacuate(evacuated);
        return created;
    }

    private void admit(PermitRequest request, long now) {
        if (deadlines.shortestServiceMicros(request.size(), now) == Double.MAX_VALUE) {
            refuse(
                    request.id(),
                    Refusal.notRun(RefusalReason.NO_UPSTREAM, "The pool has no upstream to give work to.", 1_000));
            return;
        }
        double cost = costOf(request.size().promptTokens(), request.size().outputTokens());
        if (deadlines.isUnreachable(request, now)) {
            refuseForDeadline(request, now);
            return;
        }
        if (queue.size() == 0) {
            lastProgressAt = now;
        }
        queue.add(
                new WaitingRequest(request, sequence++, cost, deadlines.latestStart(request, now)),
                row.organisationWeights().getOrDefault(request.organisation(), 1.0));
        if (queue.size() > row.queueLimit()) {
            shedOne();
        }
    }

    /** Sheds one request of the least urgent tier that has any, which may be the one just added. */
    private void shedOne() {
        WaitingRequest shed = queue.nextToShed();
        queue.remove(shed.request.id());
        refuse(
                shed.request.id(),
                Refusal.notRun(
                        RefusalReason.OVERLOADED,
                        "The queue of the pool is full.",
                        retryAfterMillis(shed.request.tier())));
    }

    private void reportStall(long now) {
        if (queue.size() > 0 && now - Math.max(lastProgressAt, stallReportedAt) >= STALL_REPORT_MICROS) {
            stallReportedAt = now;
            actions.add(new PermitAction.QueueStalled(
                    now - lastProgressAt, queue.size(), deadlines.upstreamSnapshots(now)));
        }
    }

    private void refuseForDeadline(PermitRequest request, long now) {
        actions.add(new PermitAction.DeadlineUnreachable(request.id(), deadlines.estimate(request, now)));
        String detail = "The request can't be finished within the "
                + Math.max(0, (request.deadlineAt() - now) / (long) MICROS_PER_MILLI) + " ms that it has left.";
        refuse(
                request.id(),
                Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail, retryAfterMillis(request.tier())));
    }

    private long retryAfterMillis(Tier tier) {
        double wait = deadlines.expectedWaitMicros(tier) / MICROS_PER_MILLI;
        return (long) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, wait));
    }

    private void refuse(PermitId id, Refusal refusal) {
        markFinished(id);
        actions.add(new PermitAction.Refuse(id, refusal));
    }

    private void markDropped(PermitId id) {
        announcedOutputTokens.remove(id);
        finishedAttempts.addDropped(id);
    }

    private void markFinished(PermitId id) {
        announcedOutputTokens.remove(id);
        finishedAttempts.add(id);
    }

    private void grantAll(long now) {
        if (queue.size() == 0) {
            return;
        }
        speeds.refreshIfStale(upstreams.values(), now);
        int capacity = 0;
        List<UpstreamState> usable = new ArrayList<>();
        for (UpstreamState upstream : speeds.fastestFirst()) {
            if (upstream.isUsable(now)) {
                capacity += upstream.limit();
                if (upstream.freeSlots(now) > 0) {
                    usable.add(upstream);
                }
            }
        }
        for (Tier tier : Tier.values()) {
            int reserved = slotReserve.reservedSlots(tier, capacity, options.maxReservedShare(), inFlight.size(), now);
            boolean granted = true;
            while (granted && queue.tier(tier).size() > 0) {
                Optional<GrantSelector.Selection> next = grants.select(tier, reserved, usable, now);
                next.ifPresent(selected -> grant(selected.waiting(), selected.upstream(), now));
                granted = next.isPresent();
            }
        }
    }

    private void grant(WaitingRequest waiting, UpstreamState upstream, long now) {
        queue.removeGranted(waiting);
        PermitRequest request = waiting.request;
        boolean exclusive = crashSuspects.isSuspect(request.fingerprint());
        if (exclusive) {
            crashSuspects.started(request.id());
        }
        prefixSuspects.started(request, now);
        inFlight.put(request.id(), upstream.name());
        versionRouting.granted(request.route(), upstream.row().version());
        speeds.granted(upstream.cachedShare(request.size()));
        upstream.start(request, exclusive, now);
        lastProgressAt = now;
        actions.add(new PermitAction.Grant(request.id(), upstream.name()));
    }

    private void recordOutcome(UpstreamState upstream, InFlightRequest flight, PermitOutcome outcome, long now) {
        PermitRequest request = flight.request();
        crashSuspects.ended(request.id());
        prefixSuspects.ended(request.id());
        switch (outcome.ending()) {
            case ANSWERED -> {
                upstream.recordAnswer(
                        flight, outcome.firstTokenMicros(), outcome.totalMicros(), outcome.outputTokens(), now);
                prefixSuspects.recordAnswer(request, now);
                if (crashSuspects.clear(request.fingerprint())) {
                    actions.add(new PermitAction.SuspectCleared(request.fingerprint()));
                }
            }
            case DRAINING -> markLeaving(upstream.name());
            case NOT_ADMITTED -> upstream.recordRefusal(now);
            case CONNECTION_LOST -> {
                String crashId = crashSuspects.crashIdFor(upstream.name(), now);
                crashSuspects.recordCrash(request.fingerprint(), crashId);
                actions.add(new PermitAction.CrashSuspected(request.fingerprint(), crashId));
                prefixSuspects.recordCrash(request, crashId, now);
                refuseWaitingSuspects(now);
            }
            default -> {}
        }
        if (!flight.wasSilent()) {
            versionRouting.ended(
                    request.route(), upstream, outcome, request.size().promptTokens(), now);
        }
        boolean counted = flight.wasSilent() && outcome.ending() == PermitOutcome.Ending.TIMED_OUT;
        if (outcome.ending().isFailure() && !counted && upstream.recordFailure()) {
            boolean unreachable = outcome.ending() == PermitOutcome.Ending.UNREACHABLE;
            ejector.eject(
                    upstream,
                    unreachable ? PermitAction.EjectionCause.UNREACHABLE : PermitAction.EjectionCause.FAILING,
                    now);
        }
    }

    private double costOf(int promptTokens, int outputTokens) {
        return speeds.costOf(promptTokens, outputTokens);
    }
}
