package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.radishspur.decision.move.VersionSplit;
import org.radishspur.decision.move.VersionWatch;
import org.radishspur.decision.upstream.UpstreamState;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.UpstreamRow;

/**
 * Decides for one pool which waiting request runs next and where. Events and the clock go in, {@link PermitAction}s
 * come out of {@link #decide}. The owner's control thread calls it; all times are in microseconds.
 */
public final class PoolScheduler {
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int MAX_CANDIDATES_PER_TIER = 8;
    private static final int MAX_FINISHED_ATTEMPTS = 20_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
    private static final long HOUSEKEEPING_INTERVAL_MICROS = 100_000;
    private static final int MAX_TIMES_PASSED_OVER = 8;
    private static final double MIN_CACHED_SHARE_GAIN = 0.1;

    private final SchedulerOptions options;
    private final OutputLengthCorrection outputLengths = new OutputLengthCorrection();
    private final CostCorrection costCorrection = new CostCorrection();
    private final WaitingQueue queue = new WaitingQueue();
    private final Map<String, UpstreamState> upstreams = new LinkedHashMap<>();
    private Set<String> evacuated = Set.of();
    private final Map<PermitId, String> inFlight = new HashMap<>();
    private final Map<PermitId, Integer> announcedOutputTokens = new HashMap<>();
    private final FinishedAttempts finishedAttempts = new FinishedAttempts(MAX_FINISHED_ATTEMPTS);
    private final CrashSuspects suspects;
    private final PoolSpeeds speeds = new PoolSpeeds();
    private final VersionRouting versions = new VersionRouting();
    private final SlotReserve slotReserve = new SlotReserve();
    private final List<PermitAction> actions = new ArrayList<>();
    private final Ejector ejector;
    private final UpstreamSelector selector;
    private PoolRow row;
    private long sequence;
    private long grantsPausedUntil;
    private long nextHousekeepingAt;

    /**
     * Creates the scheduler of a pool.
     *
     * @param row the pool.
     * @param options the scheduling policy.
     * @param owner a text that no other owner of the pool has had, for naming crashes.
     */
    public PoolScheduler(PoolRow row, SchedulerOptions options, String owner) {
        this.options = options;
        this.suspects = new CrashSuspects(owner);
        this.ejector = new Ejector(options, upstreams, actions);
        this.selector = new UpstreamSelector(suspects, versions, speeds);
        configure(row);
    }

    /**
     * Takes over a changed row of the pool.
     *
     * @param changed the row.
     */
    public void configure(PoolRow changed) {
        row = changed;
        Map<String, UpstreamRow> present = new HashMap<>();
        for (UpstreamRow upstream : changed.upstreams()) {
            present.put(upstream.name(), upstream);
            UpstreamState state = upstreams.get(upstream.name());
            if (state == null) {
                upstreams.put(upstream.name(), create(upstream));
            } else {
                state.row(upstream);
            }
        }
        upstreams.values().stream()
                .filter(state -> !present.containsKey(state.name()))
                .forEach(UpstreamState::remove);
        upstreams
                .values()
                .removeIf(state ->
                        !present.containsKey(state.name()) && state.inFlight().isEmpty());
        speeds.expire();
    }

    /**
     * Grants nothing until a time, so that entries can first register what they have in flight from an earlier owner.
     *
     * @param until the clock in microseconds.
     */
    public void holdUntil(long until) {
        grantsPausedUntil = until;
    }

    /**
     * Takes a request for a permit; one that is known already changes nothing, except that a lost grant is repeated.
     *
     * @param request the request.
     * @param now the clock in microseconds.
     */
    public void arrive(PermitRequest request, long now) {
        String dispatched = inFlight.get(request.id());
        if (dispatched != null) {
            actions.add(new PermitAction.Grant(request.id(), dispatched));
            return;
        }
        if (queue.contains(request.id()) || finishedAttempts.contains(request.id())) {
            return;
        }
        slotReserve.arrived(request.tier(), now);
        if (suspects.isRefused(request.fingerprint())) {
            refuse(
                    request.id(),
                    Refusal.notRun(
                            RefusalReason.CRASH_SUSPECT,
                            "The request was in flight at repeated crashes.",
                            MAX_RETRY_AFTER_MILLIS));
            return;
        }
        Work work = outputLengths.correct(request);
        PermitRequest corrected = new PermitRequest(
                request.id(),
                request.tier(),
                request.organisation(),
                request.route(),
                request.deadlineAt(),
                work,
                request.fingerprint());
        announcedOutputTokens.put(request.id(), request.work().outputTokens());
        admit(corrected, now);
    }

    /**
     * Withdraws a request, whether it waits or is in flight.
     *
     * @param id the attempt.
     * @param now the clock in microseconds.
     */
    public void cancel(PermitId id, long now) {
        if (queue.remove(id) != null) {
            markFinished(id);
        } else {
            finish(id, PermitOutcome.of(PermitOutcome.Ending.CANCELLED), now);
        }
    }

    /**
     * Notes that the first token of an answer has come.
     *
     * @param id the attempt.
     * @param now the clock in microseconds.
     */
    public void firstToken(PermitId id, long now) {
        String upstream = inFlight.get(id);
        if (upstream != null) {
            upstreams.get(upstream).firstToken(id, now);
        }
    }

    /**
     * Takes a permit back.
     *
     * @param id the attempt; one that is not in flight changes nothing.
     * @param outcome how the permit was used.
     * @param now the clock in microseconds.
     */
    public void finish(PermitId id, PermitOutcome outcome, long now) {
        String name = inFlight.remove(id);
        if (name == null) {
            return;
        }
        speeds.refreshIfStale(upstreams.values(), now);
        UpstreamState upstream = upstreams.get(name);
        UpstreamState.InFlight flight = upstream.end(id);
        Integer tokens = announcedOutputTokens.get(id);
        markFinished(id);
        slotReserve.released(now);
        recordOutcome(upstream, flight, outcome, now);
        versions.ended(
                flight.request().route(),
                upstream,
                outcome,
                flight.request().work().promptTokens(),
                now);
        if (outcome.ending() == PermitOutcome.Ending.ANSWERED) {
            PermitRequest request = flight.request();
            if (tokens != null) {
                outputLengths.learn(request, tokens, outcome.outputTokens());
            }
            double estimated =
                    costOf(request.work().promptTokens(), request.work().outputTokens());
            double actual = costOf(request.work().promptTokens(), outcome.outputTokens());
            costCorrection.learn(estimated, actual);
            queue.tier(request.tier()).charge(request.organisation(), actual - estimated);
        }
    }

    /**
     * Learns of permits that an earlier owner granted and that are still in use.
     *
     * @param request the request in flight.
     * @param upstream the upstream that runs it.
     * @param now the clock in microseconds.
     */
    public void register(PermitRequest request, String upstream, long now) {
        UpstreamState state = upstreams.get(upstream);
        if (state == null || inFlight.containsKey(request.id()) || finishedAttempts.contains(request.id())) {
            return;
        }
        queue.remove(request.id());
        inFlight.put(request.id(), upstream);
        state.start(request, false, now);
    }

    /**
     * Takes back permits that their entry process doesn't know of, because a message got lost.
     *
     * @param node the entry node.
     * @param incarnation which run of its process lists its permits.
     * @param known every attempt that the process has going on.
     * @param graceMicros how long a permit may be on its way.
     * @param now the clock in microseconds.
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
     * Lets everything of an entry process lapse, since it is gone.
     *
     * @param node the entry node.
     * @param incarnation which run of its process is gone.
     */
    public void entryLost(String node, long incarnation) {
        queue.idsOfEntry(node, incarnation).forEach(id -> {
            queue.remove(id);
            markFinished(id);
        });
        List<PermitId> lapsed = inFlight.keySet().stream()
                .filter(id -> id.node().equals(node) && id.incarnation() == incarnation)
                .toList();
        for (PermitId id : lapsed) {
            upstreams.get(inFlight.remove(id)).end(id);
            markFinished(id);
        }
    }

    /**
     * Notes that an upstream is leaving, by its own word, by the host list or by a refusal.
     *
     * @param upstream the name of the upstream.
     */
    public void leaving(String upstream) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.markLeaving();
            speeds.expire();
        }
    }

    /**
     * Notes that an upstream was seen alive.
     *
     * @param upstream the name of the upstream.
     * @param incarnation which run of its process was seen.
     */
    public void seen(String upstream, long incarnation) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.seen(incarnation);
            speeds.expire();
        }
    }

    /**
     * Takes an upstream's report of its load, which lags.
     *
     * @param upstream the name of the upstream.
     * @param running the number of requests that it says it runs.
     * @param waiting the number of requests that it says wait inside it.
     * @param now the clock in microseconds.
     */
    public void loadReported(String upstream, int running, int waiting, long now) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.loadReported(running, waiting, now);
        }
    }

    /**
     * Takes an engine's report of changes in its cache.
     *
     * @param upstream the name of the upstream.
     * @param number the number of the report.
     * @param added the blocks that the engine has taken in.
     * @param removed the blocks that the engine has dropped.
     */
    public void cacheChanged(String upstream, long number, List<Long> added, List<Long> removed) {
        UpstreamState state = upstreams.get(upstream);
        if (state != null) {
            state.prefixes().applyCacheEvent(number, added, removed);
        }
    }

    /**
     * Sets the failure domains whose upstreams get no new request. What runs there goes on.
     *
     * @param failureDomains the evacuated failure domains.
     */
    public void evacuate(Set<String> failureDomains) {
        evacuated = failureDomains;
        upstreams.values().forEach(upstream -> upstream.evacuate(failureDomains));
    }

    /**
     * Takes over the crash suspects that all owners agree on.
     *
     * @param crashes the number of crashes by fingerprint.
     */
    public void suspects(Map<String, Integer> crashes) {
        suspects.replaceAgreedCounts(crashes);
        for (WaitingRequest waiting : queue.all()) {
            if (suspects.isRefused(waiting.request.fingerprint())) {
                queue.remove(waiting.request.id());
                refuse(
                        waiting.request.id(),
                        Refusal.notRun(
                                RefusalReason.CRASH_SUSPECT,
                                "The request was in flight at repeated crashes.",
                                MAX_RETRY_AFTER_MILLIS));
            }
        }
    }

    /**
     * Takes over which versions serve each route.
     *
     * @param splits the splits by route; a route that is left out uses any version.
     */
    public void versions(Map<String, VersionSplit> splits) {
        versions.replaceSplits(splits);
    }

    /**
     * Returns what the new version of a move has shown here.
     *
     * @param route the route.
     * @return the watch, empty as long as the new version has answered nothing.
     */
    public VersionWatch watch(String route) {
        return versions.watch(route);
    }

    /**
     * Gives the new version of a route nothing more under its present move, without waiting for anybody's agreement.
     *
     * @param route the route.
     */
    public void halt(String route) {
        versions.halt(route);
    }

    /**
     * Gives up what can't be finished in time, grants what can be granted, and returns all that was decided.
     *
     * @param now the clock in microseconds.
     * @return the decisions since the last call.
     */
    public List<PermitAction> decide(long now) {
        for (WaitingRequest expired : queue.expire(now)) {
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
        List<PermitAction> decided = new ArrayList<>(actions);
        actions.clear();
        return decided;
    }

    /**
     * Returns when {@link #decide} has something to do although no event comes.
     *
     * @return the clock in microseconds.
     */
    public long nextWakeAt() {
        return Math.min(queue.nextExpiry(), nextHousekeepingAt);
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return the number.
     */
    public int waiting() {
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
        double service = shortestServiceMicros(request.work(), now);
        if (service == Double.MAX_VALUE) {
            refuse(
                    request.id(),
                    Refusal.notRun(RefusalReason.NO_UPSTREAM, "The pool has no upstream to give work to.", 1_000));
            return;
        }
        double cost = costOf(request.work().promptTokens(), request.work().outputTokens());
        double wait = expectedWaitMicros(request.tier());
        if (now + options.deadlineMargin() * (wait + service) > request.deadlineAt()) {
            refuseForDeadline(request, now);
            return;
        }
        long latestStart = (long) (request.deadlineAt() - options.deadlineMargin() * service);
        queue.add(
                new WaitingRequest(request, sequence++, cost, latestStart),
                row.organisationWeights().getOrDefault(request.organisation(), 1.0));
        if (queue.size() > row.queueLimit()) {
            shedOne();
        }
    }

    /** Sheds one request of the lowest tier that waits, which may be the one that has just come. */
    private void shedOne() {
        WaitingRequest victim = queue.nextToShed();
        queue.remove(victim.request.id());
        refuse(
                victim.request.id(),
                Refusal.notRun(
                        RefusalReason.OVERLOADED,
                        "The queue of the pool is full.",
                        retryAfterMillis(victim.request.tier())));
    }

    private void refuseForDeadline(PermitRequest request, long now) {
        String detail = "The request can't be finished within the "
                + Math.max(0, (request.deadlineAt() - now) / (long) MICROS_PER_MILLI) + " ms that it has left.";
        refuse(
                request.id(),
                Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail, retryAfterMillis(request.tier())));
    }

    private long retryAfterMillis(Tier tier) {
        double wait = expectedWaitMicros(tier) / MICROS_PER_MILLI;
        return (long) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, wait));
    }

    private void refuse(PermitId id, Refusal refusal) {
        markFinished(id);
        actions.add(new PermitAction.Refuse(id, refusal));
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
                List<UpstreamState> open = withUnreservedSlots(reserved, usable, now);
                granted = !open.isEmpty() && grantOne(tier, open, now);
            }
        }
    }

    /**
     * Lists the upstreams that have slots beyond the reserved ones. The fastest free slots are the reserved ones, since
     * the most urgent requests may have no time for a slow upstream.
     */
    private static List<UpstreamState> withUnreservedSlots(int reserved, List<UpstreamState> fastestFirst, long now) {
        List<UpstreamState> open = new ArrayList<>();
        int left = reserved;
        for (UpstreamState upstream : fastestFirst) {
            int slots = upstream.freeSlots(now);
            if (slots > left) {
                open.add(upstream);
            }
            left = Math.max(0, left - slots);
        }
        return open;
    }

    /**
     * Grants one request of a tier that fits an open upstream; returns whether there was one.
     *
     * <p>Usually that is the first one. Another organisation's next request may go before it if the upstream holds more
     * of its prompt, but nobody is passed over more than {@link #MAX_TIMES_PASSED_OVER} times in a row.
     */
    private boolean grantOne(Tier tier, List<UpstreamState> open, long now) {
        Iterator<WaitingRequest> heads = queue.tier(tier).heads();
        WaitingRequest first = null;
        WaitingRequest best = null;
        UpstreamState bestUpstream = null;
        double bestHeld = -1;
        for (int tried = 0; tried < MAX_CANDIDATES_PER_TIER && heads.hasNext(); tried++) {
            WaitingRequest candidate = heads.next();
            UpstreamState upstream = selector.choose(candidate.request, open, now);
            if (upstream == null) {
                continue;
            }
            first = first == null ? candidate : first;
            double held = upstream.cachedShare(candidate.request.work());
            if (held > bestHeld + MIN_CACHED_SHARE_GAIN) {
                best = candidate;
                bestUpstream = upstream;
                bestHeld = held;
            }
            if (!options.reusesPrefixes() || first.timesPassedOver >= MAX_TIMES_PASSED_OVER) {
                break;
            }
        }
        if (best == null) {
            return false;
        }
        if (best != first) {
            first.timesPassedOver++;
        }
        grant(best, bestUpstream, now);
        return true;
    }

    private void grant(WaitingRequest waiting, UpstreamState upstream, long now) {
        queue.removeGranted(waiting);
        PermitRequest request = waiting.request;
        boolean apart = suspects.isSuspect(request.fingerprint());
        if (apart) {
            suspects.started(request.id());
        }
        inFlight.put(request.id(), upstream.name());
        versions.granted(request.route(), upstream.row().version());
        speeds.granted(upstream.cachedShare(request.work()));
        upstream.start(request, apart, now);
        actions.add(new PermitAction.Grant(request.id(), upstream.name()));
    }

    private void recordOutcome(UpstreamState upstream, UpstreamState.InFlight flight, PermitOutcome outcome, long now) {
        PermitRequest request = flight.request();
        suspects.ended(request.id());
        switch (outcome.ending()) {
            case ANSWERED -> {
                upstream.learn(flight, outcome.firstTokenMicros(), outcome.totalMicros(), outcome.outputTokens(), now);
                if (suspects.clear(request.fingerprint())) {
                    actions.add(new PermitAction.Cleared(request.fingerprint()));
                }
            }
            case DRAINING -> leaving(upstream.name());
            case CONNECTION_LOST -> {
                String crash = suspects.crashIdFor(upstream.name(), now);
                suspects.recordCrash(request.fingerprint(), crash);
                actions.add(new PermitAction.Suspect(request.fingerprint(), crash));
            }
            default -> {}
        }
        if (outcome.ending().isFailure() && upstream.recordFailure()) {
            boolean unreachable = outcome.ending() == PermitOutcome.Ending.UNREACHABLE;
            ejector.eject(
                    upstream,
                    unreachable ? PermitAction.EjectionCause.UNREACHABLE : PermitAction.EjectionCause.FAILING,
                    now);
        }
    }

    /**
     * Returns how long the request takes at best. An upstream of which little is known counts as able to do anything:
     * refusing on a guess would keep it from ever being measured.
     */
    private double shortestServiceMicros(Work work, long now) {
        speeds.refreshIfStale(upstreams.values(), now);
        return speeds.shortestServiceMicros(work, now);
    }

    /** Returns how long a new request of a tier would wait, or 0 as long as too little is known to say. */
    private double expectedWaitMicros(Tier tier) {
        return speeds.isAnyMeasured() ? queue.costAhead(tier) * costCorrection.factor() / speeds.serviceRate() : 0;
    }

    private double costOf(int promptTokens, int outputTokens) {
        return speeds.costOf(promptTokens, outputTokens);
    }
}
