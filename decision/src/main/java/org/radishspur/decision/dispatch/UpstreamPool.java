package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

import org.radishspur.decision.dispatch.UpstreamLoad.Timeliness;
import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.Upstream;

/**
 * Holds the state of the upstreams of one pool at one scheduler, and chooses the upstream for each request.
 */
public final class UpstreamPool {
    /** Extra cost of a full upstream over an empty one, as a share; it spreads requests over equal upstreams. */
    private static final double UTILISATION_PENALTY = 0.5;

    /**
     * Cost factor of an upstream in another failure domain, because traffic between failure domains is charged for. A
     * full engine in the scheduler's own domain is only a little slower than an empty one elsewhere; it is still passed
     * over for an empty one, because utilisation adds up to a half.
     */
    private static final double CROSS_DOMAIN_PENALTY = 1.3;

    /**
     * Maximum share of a pool that may be ejected for failures; faulty requests that fail everywhere must not empty the
     * pool.
     */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /**
     * Maximum extra cost by which a scheduler's own preference sets equal upstreams apart. Each scheduler has another
     * order, so that schedulers with the same reports don't all choose the same upstream.
     */
    private static final double MAX_PREFERENCE = 0.15;

    /** An upstream counts as slow beyond this multiple of the shortest time per event; load alone adds up to a half. */
    private static final double SLOW_FACTOR = 2;

    /**
     * Share of a request's cost that a cached prefix saves at most: the cost of processing a prompt that is long
     * compared with the answer.
     */
    private static final double MAX_PREFIX_SAVING = 0.6;

    /**
     * Ratio of the assumed to the expected length of an answer while its request is selective; one answer
     * in ten is longer than that.
     */
    private static final double EARLY_LENGTH_FACTOR = 2.0;

    /** The same after that; an upstream that is likely to be on time is then better than none. */
    private static final double LATER_LENGTH_FACTOR = 1.15;

    /** Times that differ by less than this factor count as equal; load alone makes such a difference. */
    private static final double SIMILAR_SPEED_FACTOR = 1.3;

    /**
     * Maximum difference in cost, as a share, among the upstreams of which one is drawn; less than the penalty for
     * another failure domain.
     */
    private static final double MAX_COST_SPREAD = 0.25;

    private final String self;
    private final String ownDomain;
    private final int defaultSlots;
    private final Map<String, UpstreamLoad> loads = new HashMap<>();
    private final OutputLengthEstimate outputLengths = new OutputLengthEstimate();
    private final FirstByteModel firstByte = new FirstByteModel();
    private final StreamPauses pauses = new StreamPauses();
    private final Random random;
    private int schedulerCount = 1;
    private boolean limitedToShare;
    private final ReportStaleness staleness = new ReportStaleness();
    private final UnusedSlotTime unusedTime = new UnusedSlotTime();
    private Set<String> evacuatedDomains = Set.of();
    private ColdStart coldStartRule = ColdStart.NONE;
    private Predicate<String> mayUseCold = run -> true;
    private ToIntFunction<String> limitPosition = run -> 0;
    private int limitSchedulers = 1;
    private double limitShare = 1;

    /**
     * Creates a pool without upstreams.
     *
     * @param self the name of this scheduler, which must differ from those of others.
     * @param ownDomain the failure domain of this scheduler.
     * @param defaultSlots the slots of an upstream for which the host list gives no number.
     */
    public UpstreamPool(String self, String ownDomain, int defaultSlots) {
        this.self = self;
        this.random = new Random(self.hashCode());
        this.ownDomain = ownDomain;
        this.defaultSlots = defaultSlots;
    }

    /** Records how long an answered request held its slot. */
    void recordHold(long millis) {
        staleness.recordHold(millis);
    }

    /**
     * Records for how long an answered request was counted here, and for how long it was at its upstream. Streams hold
     * slots for so long that the difference doesn't matter.
     *
     * @param plainCall whether the request is a plain call.
     * @param counted the time from the grant to the report of its end, in milliseconds.
     * @param held the time from its sending to the end of the answer, in milliseconds.
     */
    public void recordSlotTimes(boolean plainCall, long counted, long held) {
        // A stream counts as taken only while it runs, so that it lowers the share in a pool that serves both.
        unusedTime.record(plainCall ? counted : held, held);
    }

    /**
     * Returns for how long slots of plain calls count as taken while no call runs there.
     *
     * @return the unused time as a share of the time for which a call runs, from 0 to 1; 0 until enough calls have ended.
     */
    public double unusedSlotShare() {
        return unusedTime.share();
    }

    /**
     * Sets how many schedulers share the upstreams.
     *
     * @param count the number, this one included.
     */
    public void setSchedulerCount(int count) {
        schedulerCount = Math.max(1, count);
        loads.values().forEach(this::updatePoolTimesUse);
    }

    /** Limits the requests that this scheduler has in progress to its share, as it doesn't see those of the others. */
    public void limitToShare() {
        limitedToShare = true;
    }

    private boolean isShareTaken(long now) {
        return limitedToShare
                && loads.values().stream().mapToInt(UpstreamLoad::ownInProgress).sum()
                        >= OwnShare.INSTANCE.maxInProgress(slots(now), schedulerCount);
    }

    /**
     * Sets the cold start limit, and which cold upstreams this scheduler may use. Only one scheduler may use each cold
     * upstream, so that the limit holds for any number of schedulers, independently of the reports between them.
     *
     * @param rule the cold start limit of the pool.
     * @param mayUse whether this scheduler may use a cold upstream, given its run.
     */
    public void setColdStart(ColdStart rule, Predicate<String> mayUse) {
        mayUseCold = mayUse;
        if (!rule.equals(coldStartRule)) {
            coldStartRule = rule;
            loads.values().forEach(load -> load.setColdStart(rule));
        }
    }

    /**
     * Sets how this scheduler shares the limits that upstreams may state.
     *
     * @param position returns the position of this scheduler among those that use an upstream, given the upstream's run.
     * @param schedulers the number of schedulers that report to each other how many requests they send.
     * @param share the share of each limit that they may use together.
     */
    public void setLimitSharing(ToIntFunction<String> position, int schedulers, double share) {
        limitPosition = position;
        limitSchedulers = schedulers;
        limitShare = share;
        loads.values().forEach(this::updateLimitTurns);
    }

    private void updateLimitTurns(UpstreamLoad load) {
        load.setLimitTurns(new RequestLimiter.Turns(limitPosition.applyAsInt(load.run()), limitSchedulers, limitShare));
    }

    /**
     * Sets the failure domains whose upstreams get no new requests. When a failure domain is put back into service, its
     * upstreams count as possibly restarted.
     *
     * @param failureDomains the evacuated failure domains.
     * @param now the current time in milliseconds.
     */
    public void setEvacuatedDomains(Set<String> failureDomains, long now) {
        Set<String> before = evacuatedDomains;
        evacuatedDomains = failureDomains;
        loads.values().stream()
                .filter(load -> before.contains(load.upstream().failureDomain()) && !isEvacuated(load))
                .forEach(load -> load.recordPossibleRestart(now));
    }

    private boolean isEvacuated(UpstreamLoad load) {
        return evacuatedDomains.contains(load.upstream().failureDomain());
    }

    /**
     * Applies the latest host list.
     *
     * @param listed the upstreams of this pool.
     */
    public void refresh(Collection<Upstream> listed) {
        Set<String> runs = new HashSet<>();
        for (Upstream upstream : listed) {
            String run = upstream.runId();
            runs.add(run);
            UpstreamLoad known = loads.get(run);
            if (known == null) {
                UpstreamLoad load = new UpstreamLoad(upstream, firstByte, pauses, self);
                load.setColdStart(coldStartRule);
                updateLimitTurns(load);
                loads.put(run, load);
            } else {
                known.update(upstream);
            }
        }
        loads.values().forEach(this::updatePoolTimesUse);
        loads.values().forEach(load -> load.setListed(runs.contains(load.run())));
        loads.values().removeIf(load -> !load.isListed() && load.ownInProgress() == 0);
    }

    /**
     * Sets whether an upstream uses the times of the pool. A scheduler whose share of the upstream's slots is less than
     * one gets too few answers from it to estimate its times.
     */
    private void updatePoolTimesUse(UpstreamLoad load) {
        load.setUsesPoolTimes(schedulerCount > slots(load));
    }

    /**
     * Chooses an upstream with a free slot.
     *
     * <p>Engines of one pool differ in speed by several times. A long answer that a slow engine can't finish in time,
     * and a long prompt that would delay other requests there, wait for a faster engine while their queueing time
     * allows it.
     *
     * @param queued the request.
     * @param reserved the share of the slots that the request leaves free, among fast upstreams and among slow ones.
     * @param now the current time in milliseconds.
     * @return the upstream, or empty where no suitable slot is free.
     */
    public Optional<UpstreamLoad> choose(QueuedRequest queued, double reserved, long now) {
        pauses.recordRequest(queued, now);
        List<UpstreamLoad> usable = usable(queued, now);
        // No request waits for a fast upstream whose limit is used up, as it would for one whose slots are taken.
        usable.removeIf(load -> !load.allowsLimitedRequest(now));
        if (reserved > 0) {
            removeReserved(usable, queued, reserved, now);
        }
        if (isShareTaken(now) || usable.stream().noneMatch(load -> hasFreeSlot(load, queued, now))) {
            return Optional.empty();
        }
        boolean early = now < queued.selectiveUntil();
        double events = outputLengths.events(
                queued.requirements().outputTokens(),
                early ? EARLY_LENGTH_FACTOR : LATER_LENGTH_FACTOR,
                queued.requirements().outputLimit());
        // Where every remaining upstream was tried before, one of them is better than none.
        removeUnlessAll(usable, load -> queued.avoids(load.run()));
        Set<UpstreamLoad> affinityTargets = affinityTargets(queued, now);
        Map<UpstreamLoad, Timeliness> ratings = rate(usable, queued, affinityTargets, events, now);
        Timeliness bestTimeliness =
                ratings.values().stream().min(Comparator.naturalOrder()).orElse(Timeliness.TOO_LATE);
        // Upstreams that are left for more urgent requests may be suitable soon.
        boolean waits = early
                && bestTimeliness == Timeliness.HOLDING_UP
                && rate(usableBeyondReserve(queued, now), queued, affinityTargets, events, now)
                        .containsValue(Timeliness.ON_TIME);
        Timeliness worstAccepted = worstAccepted(bestTimeliness, early, waits);
        usable.removeIf(load -> ratings.get(load).compareTo(worstAccepted) > 0);
        if (bestTimeliness == Timeliness.TOO_LATE) {
            removeSlower(usable, queued, affinityTargets, events);
        }
        Optional<UpstreamLoad> chosen = best(usable, queued, affinityTargets, ratings, now);
        pauses.recordChoice(
                queued,
                chosen.map(ratings::get),
                () -> ratings.keySet().stream()
                        .anyMatch(
                                load -> ratings.get(load) == Timeliness.HOLDING_UP && hasFreeSlot(load, queued, now)));
        chosen.ifPresent(load -> queued.setCachedTokens(cachedTokens(load, queued, affinityTargets)));
        return chosen;
    }

    /** Returns the upstreams among which the request could choose if no slots were left for others. */
    private List<UpstreamLoad> usableBeyondReserve(QueuedRequest queued, long now) {
        List<UpstreamLoad> upstreams = usable(queued, now);
        upstreams.removeIf(load -> !load.allowsLimitedRequest(now));
        removeUnlessAll(upstreams, load -> queued.avoids(load.run()));
        return upstreams;
    }

    /** Returns the worst rating that a request accepts, given the best one that is to be had. */
    private static Timeliness worstAccepted(Timeliness best, boolean early, boolean waitsForBetter) {
        if (best == Timeliness.TOO_LATE) {
            return Timeliness.TOO_LATE;
        }
        if (waitsForBetter) {
            return Timeliness.ON_TIME;
        }
        return early && best != Timeliness.LATE ? best : Timeliness.LATE;
    }

    /**
     * Removes all but the fastest upstreams, for an answer that none is expected to complete in time. On a slow engine
     * it would hold a slot until its deadline and fail; on a fast one it is likely to complete, because estimates are
     * often too long.
     */
    private static void removeSlower(
            List<UpstreamLoad> usable, QueuedRequest queued, Set<UpstreamLoad> affinityTargets, double events) {
        double shortest = usable.stream()
                .mapToDouble(load -> totalMillis(load, queued, affinityTargets, events))
                .min()
                .orElse(0);
        usable.removeIf(load -> totalMillis(load, queued, affinityTargets, events) > shortest * SIMILAR_SPEED_FACTOR);
    }

    private static double totalMillis(
            UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets, double events) {
        return load.totalMillis(
                queued.requirements().promptTokens() - cachedTokens(load, queued, affinityTargets), events);
    }

    private static long cachedTokens(UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets) {
        return affinityTargets.contains(load) ? queued.requirements().prefix().tokens() : 0;
    }

    /**
     * Returns the upstreams that should cache the prompt prefix of a request. Slow ones are excluded: processing
     * the prefix there takes longer than processing it again at a fast one.
     */
    private Set<UpstreamLoad> affinityTargets(QueuedRequest queued, long now) {
        if (!queued.requirements().prefix().isWorthCaching()) {
            return Set.of();
        }
        double slowAboveMillis = shortestEventMillis(loads.values()) * SLOW_FACTOR;
        List<UpstreamLoad> candidates = loads.values().stream()
                .filter(load -> isInService(load, now) && !isSlow(load, slowAboveMillis))
                .filter(load -> queued.terms().allowsDomain(load.upstream().failureDomain()))
                .toList();
        return Set.copyOf(
                PrefixAffinity.INSTANCE.affinityTargets(queued.requirements().prefix(), candidates));
    }

    private Map<UpstreamLoad, Timeliness> rate(
            List<UpstreamLoad> usable,
            QueuedRequest queued,
            Set<UpstreamLoad> affinityTargets,
            double events,
            long now) {
        Map<UpstreamLoad, Timeliness> ratings = new HashMap<>();
        usable.forEach(load -> ratings.put(load, timeliness(load, queued, affinityTargets, events, now)));
        return ratings;
    }

    private Timeliness timeliness(
            UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets, double events, long now) {
        long uncachedTokens = queued.requirements().promptTokens() - cachedTokens(load, queued, affinityTargets);
        Timeliness alone = load.timeliness(queued.requirements(), uncachedTokens, events, now);
        return pauses.rate(alone, load, queued, uncachedTokens);
    }

    /** Returns how long the pool is expected to need for a request, once a slot is granted. */
    RequestTimes expectedTimes(QueuedRequest queued) {
        double[] eventTimes = loads.values().stream()
                .filter(load -> load.isEventTimeKnown() && queued.allows(load.upstream()))
                .mapToDouble(UpstreamLoad::eventMillis)
                .sorted()
                .toArray();
        if (eventTimes.length == 0 || !firstByte.isKnownForPool()) {
            return RequestTimes.UNKNOWN;
        }
        QueuedRequest.Requirements requirements = queued.requirements();
        double eventMillis = eventTimes[eventTimes.length / 2];
        long cachedTokens =
                requirements.prefix().isWorthCaching() ? requirements.prefix().tokens() : 0;
        double firstByteMillis = firstByte.millis(requirements.promptTokens() - cachedTokens) * eventMillis;
        double events = outputLengths.events(requirements.outputTokens());
        return new RequestTimes(
                firstByteMillis, requirements.outputTokens() > 0 ? firstByteMillis + events * eventMillis : 0);
    }

    /**
     * Returns the estimate of the length of answers.
     *
     * @return the estimate, to which answers are added.
     */
    public OutputLengthEstimate outputLengths() {
        return outputLengths;
    }

    /**
     * Returns the predictions of pauses inside streams.
     *
     * @return the predictions, to which complete streams are added.
     */
    public StreamPauses pauses() {
        return pauses;
    }

    /**
     * Finds an upstream by its run.
     *
     * @param run the run.
     * @return the upstream, or empty where it is unknown.
     */
    public Optional<UpstreamLoad> find(String run) {
        return Optional.ofNullable(loads.get(run));
    }

    /**
     * Returns all upstreams that are listed or have requests of this scheduler in progress.
     *
     * @return the upstreams.
     */
    public Collection<UpstreamLoad> loads() {
        return loads.values();
    }

    /**
     * Returns the upstreams that are ejected because connections to them failed.
     *
     * @param now the current time in milliseconds.
     * @return their runs.
     */
    public List<String> unreachableRuns(long now) {
        return loads.values().stream()
                .filter(load -> load.isUnreachable(now))
                .map(UpstreamLoad::run)
                .toList();
    }

    /**
     * Returns the number of slots, free or taken, of the upstreams in service. One that states a limit counts as one slot.
     *
     * @param now the current time in milliseconds.
     * @return the number.
     */
    public int slots(long now) {
        return loads.values().stream()
                .filter(load -> isInService(load, now))
                .mapToInt(this::countedSlots)
                .sum();
    }

    /**
     * Returns the minimum rate, in slots per second, at which slots are released to this scheduler while all are taken.
     *
     * <p>Each slot is released once in the time for which requests hold it. Until that time is known, it is assumed to be the
     * time within which the caller wants the answer of a plain call, and the time until the deadline of a stream. Streams run
     * for so long that the slots which they hold are known from reports; a call may hold one for less than a report takes.
     */
    double minReleasesPerSecond(QueuedRequest queued, long now) {
        double holdMillis = Math.max(1, staleness.holdMillisOr(queued.isPlainCall(), queued.longestHoldMillis()));
        double expected = queued.isPlainCall()
                ? sumFor(queued, now, this::countedSlots) / schedulerCount * 1_000 / holdMillis
                : sumFor(queued, now, load -> load.ownReleasesPerSecond(holdMillis, now));
        return Math.max(MinimumReleaseRate.DEFAULT.perSecond(queued, now), expected);
    }

    private double sumFor(QueuedRequest queued, long now, ToDoubleFunction<UpstreamLoad> amount) {
        return loads.values().stream()
                .filter(load -> isInService(load, now) && queued.allows(load.upstream()))
                .mapToDouble(amount)
                .sum();
    }

    /**
     * Returns the usual failure share in the pool.
     *
     * @return the median over its upstreams, from 0 to 1.
     */
    public double usualFailureShare() {
        double[] shares = loads.values().stream()
                .mapToDouble(UpstreamLoad::failureShare)
                .sorted()
                .toArray();
        return shares.length == 0 ? 0 : shares[shares.length / 2];
    }

    /**
     * Returns whether a version has an upstream that accepts new requests and may run a request.
     *
     * @param version the version.
     * @param terms what is stated about the request.
     * @return whether there is one.
     */
    public boolean hasVersion(String version, RequestTerms terms) {
        return loads.values().stream()
                .anyMatch(load -> acceptsRequests(load)
                        && load.upstream().version().equals(version)
                        && terms.allowsDomain(load.upstream().failureDomain()));
    }

    private List<UpstreamLoad> usable(QueuedRequest queued, long now) {
        List<UpstreamLoad> candidates = new ArrayList<>();
        int inService = 0;
        int ejected = 0;
        for (UpstreamLoad load : loads.values()) {
            if (isInService(load, now) && queued.allows(load.upstream())) {
                candidates.add(load);
                inService++;
                ejected += load.isEjected(now) ? 1 : 0;
            }
        }
        removeUnlessAll(candidates, UpstreamLoad::isLeaving);
        boolean appliesEjections = ejected <= inService * MAX_EJECTED_SHARE;
        candidates.removeIf(load ->
                load.isSilent(now) || appliesEjections && load.isEjected(now) || turnsAwayUntil(load, queued) > now);
        return candidates;
    }

    /** Removes the upstreams that are to be used only where there is no other. */
    private static void removeUnlessAll(List<UpstreamLoad> upstreams, Predicate<UpstreamLoad> lastResort) {
        if (!upstreams.stream().allMatch(lastResort)) {
            upstreams.removeIf(lastResort);
        }
    }

    /** Returns until when an upstream turns a request away, as far as it has shown or said so. */
    private static long turnsAwayUntil(UpstreamLoad load, QueuedRequest queued) {
        return Math.max(load.refusesUntil(), queued.excludedUntil(load.run()));
    }

    /**
     * Returns from when on some upstream doesn't turn a request away.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     * @return the current time, or a later one if all upstreams that could serve the request turn it away.
     */
    long takenFrom(QueuedRequest queued, long now) {
        return loads.values().stream()
                .filter(load -> isInService(load, now) && queued.allows(load.upstream()))
                .mapToLong(load -> Math.max(now, turnsAwayUntil(load, queued)))
                .min()
                .orElse(now);
    }

    /**
     * Removes the fast upstreams, or the slow ones, where too few of their slots are free to leave some for more urgent
     * requests. Fast and slow slots are counted separately: an urgent request doesn't go to a slow engine, so that a
     * free slot there must not let a less urgent request take the last fast one.
     */
    private void removeReserved(List<UpstreamLoad> usable, QueuedRequest queued, double reserved, long now) {
        double slowAboveMillis = shortestEventMillis(loads.values()) * SLOW_FACTOR;
        for (boolean slow : new boolean[] {false, true}) {
            if (freeShare(slow, slowAboveMillis, queued, now) <= reserved) {
                usable.removeIf(load -> isSlow(load, slowAboveMillis) == slow);
            }
        }
    }

    private double freeShare(boolean slow, double slowAboveMillis, QueuedRequest queued, long now) {
        int slots = 0;
        int free = 0;
        for (UpstreamLoad load : loads.values()) {
            if (isSlow(load, slowAboveMillis) == slow && isInService(load, now)) {
                slots += countedSlots(load);
                free += freeSlotsForReserve(load, queued, now);
            }
        }
        return slots == 0 ? 0 : (double) free / slots;
    }

    private int freeSlotsForReserve(UpstreamLoad load, QueuedRequest queued, long now) {
        if (load.refusesUntil() > now) {
            return 0;
        }
        return load.isLimited() ? (load.allowsLimitedRequest(now) ? 1 : 0) : freeSlots(load, queued);
    }

    private static boolean isSlow(UpstreamLoad load, double slowAboveMillis) {
        return load.isEventTimeKnown() && load.eventMillis() > slowAboveMillis;
    }

    private static double shortestEventMillis(Collection<UpstreamLoad> upstreams) {
        return upstreams.stream()
                .filter(UpstreamLoad::isEventTimeKnown)
                .mapToDouble(UpstreamLoad::eventMillis)
                .min()
                .orElse(1);
    }

    private Optional<UpstreamLoad> best(
            List<UpstreamLoad> usable,
            QueuedRequest queued,
            Set<UpstreamLoad> affinityTargets,
            Map<UpstreamLoad, Timeliness> ratings,
            long now) {
        double fastestEventMillis = shortestEventMillis(usable);
        List<UpstreamLoad> free = new ArrayList<>(usable);
        free.removeIf(load -> !hasFreeSlot(load, queued, now));
        // One that fails at once always has most free slots.
        removeUnlessAll(free, load -> load.isEjected(now));
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
        // A single scheduler knows all requests in progress and takes the best upstream.
        double maxCost = best.cost() * (1 + MAX_COST_SPREAD * (1 - 1.0 / schedulerCount));
        List<UpstreamLoad> similar = candidates.stream()
                .filter(each -> each.timeliness() == best.timeliness() && each.cost() <= maxCost)
                .map(Candidate::load)
                .toList();
        int free = similar.stream().mapToInt(load -> freeSlots(load, queued)).sum();
        int remaining = free > 0 ? random.nextInt(free) : 0;
        for (UpstreamLoad load : similar) {
            remaining -= freeSlots(load, queued);
            if (remaining < 0) {
                return load;
            }
        }
        return best.load();
    }

    private int freeSlots(UpstreamLoad load, QueuedRequest queued) {
        return Math.max(0, slots(load) + unusedSlots(load, queued) - load.inProgress());
    }

    /**
     * Returns whether one more request may be sent. More may count as in progress than there are slots, as some of them
     * don't run at the upstream yet or any more. Until the time per event of an upstream is known, each scheduler
     * uses only its share of the slots: an upstream that has just been listed counts as fast and all schedulers see it
     * empty, but a slow one with twice as many requests as slots answers none in time.
     */
    private boolean hasFreeSlot(UpstreamLoad load, QueuedRequest queued, long now) {
        if (load.isCold(now) && !load.allowsColdRequest(now)) {
            return false;
        }
        if (load.isOnProbation() || load.isTestedAfterRefusals()) {
            return load.inProgress() < 1;
        }
        if (schedulerCount > 1 && !isOwnDomain(load) && now - load.lastSentAt() < staleness.spacingMillis()) {
            return false;
        }
        int slots = slots(load) + uncountedSlots(load, queued);
        int reportedSlots = slots(load) + unreportedReleases(load);
        int ownShare = load.isEventTimeKnown() ? slots : Math.max(1, reportedSlots / schedulerCount);
        return load.inProgress() < slots && load.ownInProgress() < ownShare;
    }

    /** Returns how many slots of an upstream count as taken although no request runs there, at most as many as it has. */
    private int uncountedSlots(UpstreamLoad load, QueuedRequest queued) {
        return Math.min(slots(load), unreportedReleases(load) + unusedSlots(load, queued));
    }

    /** Returns the slots that plain calls leave idle; streams run for so long that one more would delay the others. */
    private int unusedSlots(UpstreamLoad load, QueuedRequest queued) {
        return queued.isPlainCall() ? unusedTime.unusedSlots(slots(load)) : 0;
    }

    private int unreportedReleases(UpstreamLoad load) {
        return schedulerCount > 1 ? staleness.unreportedReleases(slots(load)) : 0;
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
        double utilisation = 1 + UTILISATION_PENALTY * load.inProgress() / slots(load);
        boolean sameDomain = load.upstream().failureDomain().equals(queued.entryDomainOr(ownDomain));
        double penalty = sameDomain ? 1 : CROSS_DOMAIN_PENALTY;
        return eventTime * utilisation * penalty * (1 + MAX_PREFERENCE * load.preference());
    }

    /** Returns whether this scheduler may use the upstream, whether or not a slot is free. */
    private boolean isInService(UpstreamLoad load, long now) {
        return acceptsRequests(load, now)
                && !load.isUnreachable(now)
                && (!load.isCold(now) || mayUseCold.test(load.run()));
    }

    private boolean isOwnDomain(UpstreamLoad load) {
        return load.upstream().failureDomain().equals(ownDomain);
    }

    /**
     * Returns whether an upstream may get a request at a time.
     *
     * @param load the upstream.
     * @param now the time in milliseconds.
     * @return whether it accepts new requests, and hasn't said some time ago that it leaves.
     */
    public boolean acceptsRequests(UpstreamLoad load, long now) {
        return acceptsRequests(load) && !load.hasLeft(now);
    }

    /**
     * Returns whether an upstream accepts new requests.
     *
     * @param load the upstream.
     * @return whether it is listed, isn't draining, wasn't replaced and isn't in an evacuated failure domain.
     */
    public boolean acceptsRequests(UpstreamLoad load) {
        return !load.upstream().draining() && !load.isReplaced() && !isEvacuated(load) && load.isListed();
    }

    /**
     * Holds an upstream with a free slot, and how well it suits a request.
     *
     * @param load the upstream.
     * @param timeliness how timely its answer is likely to be.
     * @param cost its relative cost; the least is best.
     */
    private record Candidate(UpstreamLoad load, Timeliness timeliness, double cost) {}

    /** Returns the slots of an upstream as capacity of the pool; a limit leaves most slots of an upstream empty. */
    private int countedSlots(UpstreamLoad load) {
        return load.isLimited() ? 1 : slots(load);
    }

    private int slots(UpstreamLoad load) {
        return Math.max(1, load.upstream().slots() > 0 ? load.upstream().slots() : defaultSlots);
    }
}
