package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

import org.radishspur.decision.dispatch.UpstreamLoad.Timeliness;
import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.Upstream;

/**
 * Holds the state of the upstreams of one pool at one scheduler, and chooses the upstream for each request.
 */
public final class UpstreamPool {
    /**
     * Maximum share of a pool that may be ejected for failures; faulty requests that fail everywhere must not empty the
     * pool.
     */
    private static final double MAX_EJECTED_SHARE = 0.5;

    private final String self;
    private final Map<String, UpstreamLoad> loads = new HashMap<>();
    private final SlotCapacity capacity;
    private final PriorityReserve reserve;
    private final LeastCostChoice choice;
    private final AnswerTimes times = new AnswerTimes();
    private boolean limitedToShare;
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
        this.capacity = new SlotCapacity(ownDomain, defaultSlots);
        this.reserve = new PriorityReserve(capacity);
        this.choice = new LeastCostChoice(self, ownDomain, capacity);
    }

    /** Records how long an answered plain call or stream held its slot. */
    void recordHold(boolean plainCall, long millis) {
        capacity.recordHold(plainCall, millis);
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
        capacity.unusedTime().record(plainCall ? counted : held, held);
    }

    /**
     * Returns for how long slots of plain calls count as taken while no call runs there.
     *
     * @return the unused time as a share of the time for which a call runs, from 0 to 1; 0 until enough calls have ended.
     */
    public double unusedSlotShare() {
        return capacity.unusedTime().share();
    }

    /**
     * Sets how many schedulers share the upstreams.
     *
     * @param count the number, this one included.
     */
    public void setSchedulerCount(int count) {
        capacity.setSchedulerCount(count);
        loads.values().forEach(this::updatePoolTimesUse);
    }

    /** Limits the requests that this scheduler has in progress to its share, as it doesn't see those of the others. */
    public void limitToShare() {
        limitedToShare = true;
    }

    private boolean isShareTaken(long now) {
        return limitedToShare
                && loads.values().stream().mapToInt(UpstreamLoad::ownInProgress).sum()
                        >= OwnShare.INSTANCE.maxInProgress(slots(now), capacity.schedulerCount());
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
                UpstreamLoad load = new UpstreamLoad(upstream, times.firstByte(), times.pauses(), self);
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
        load.setUsesPoolTimes(capacity.isShareBelowOne(load));
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
        StreamPauses pauses = times.pauses();
        pauses.recordRequest(queued, now);
        queued.setLeavesFreeSlots(false);
        List<UpstreamLoad> usable = usable(queued, now);
        // No request waits for a fast upstream whose limit is used up, as it would for one whose slots are taken.
        usable.removeIf(load -> !load.allowsLimitedRequest(now));
        if (reserved > 0) {
            List<UpstreamLoad> inService = loads.values().stream()
                    .filter(load -> isInService(load, now))
                    .toList();
            reserve.remove(usable, inService, SpeedThreshold.of(loads.values()), queued, reserved, now);
        }
        if (isShareTaken(now) || usable.stream().noneMatch(load -> capacity.hasFreeSlot(load, queued, now))) {
            return Optional.empty();
        }
        boolean early = queued.isSelective(now);
        double events = times.assumedEvents(queued, early);
        // Where every remaining upstream was tried before, one of them is better than none.
        UpstreamFilter.INSTANCE.removeUnlessAll(usable, load -> queued.avoids(load.run()));
        Set<UpstreamLoad> affinityTargets = affinityTargets(queued, now);
        Map<UpstreamLoad, Timeliness> ratings = times.rate(usable, queued, affinityTargets, events, now);
        Timeliness bestTimeliness =
                ratings.values().stream().min(Comparator.naturalOrder()).orElse(Timeliness.TOO_LATE);
        // Upstreams that are left for more urgent requests may be suitable soon.
        boolean waits = early
                && bestTimeliness == Timeliness.HOLDING_UP
                && times.rate(usableBeyondReserve(queued, now), queued, affinityTargets, events, now)
                        .containsValue(Timeliness.ON_TIME);
        Timeliness worstAccepted = worstAccepted(bestTimeliness, early, waits);
        usable.removeIf(load -> ratings.get(load).compareTo(worstAccepted) > 0);
        if (bestTimeliness == Timeliness.TOO_LATE) {
            AnswerTimes.removeSlower(usable, queued, affinityTargets, events);
        }
        Optional<UpstreamLoad> chosen = choice.choose(usable, queued, affinityTargets, ratings, now);
        queued.setLeavesFreeSlots(chosen.isEmpty());
        pauses.recordChoice(
                queued,
                chosen.map(ratings::get),
                () -> ratings.keySet().stream()
                        .anyMatch(load ->
                                ratings.get(load) == Timeliness.HOLDING_UP && capacity.hasFreeSlot(load, queued, now)));
        chosen.ifPresent(load -> queued.setCachedTokens(AnswerTimes.cachedTokens(load, queued, affinityTargets)));
        return chosen;
    }

    /** Returns the upstreams among which the request could choose if no slots were left for others. */
    private List<UpstreamLoad> usableBeyondReserve(QueuedRequest queued, long now) {
        List<UpstreamLoad> upstreams = usable(queued, now);
        upstreams.removeIf(load -> !load.allowsLimitedRequest(now));
        UpstreamFilter.INSTANCE.removeUnlessAll(upstreams, load -> queued.avoids(load.run()));
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
     * Returns the upstreams that should cache the prompt prefix of a request. Slow ones are excluded: processing
     * the prefix there takes longer than processing it again at a fast one.
     */
    private Set<UpstreamLoad> affinityTargets(QueuedRequest queued, long now) {
        if (!queued.requirements().prefix().isWorthCaching()) {
            return Set.of();
        }
        SpeedThreshold threshold = SpeedThreshold.of(loads.values());
        List<UpstreamLoad> candidates = loads.values().stream()
                .filter(load -> isInService(load, now) && !threshold.isSlow(load))
                .filter(load -> queued.terms().allowsDomain(load.upstream().failureDomain()))
                .toList();
        return Set.copyOf(
                PrefixAffinity.INSTANCE.affinityTargets(queued.requirements().prefix(), candidates));
    }

    /** Returns how long the pool is expected to need for a request, once a slot is granted. */
    RequestTimes expectedTimes(QueuedRequest queued) {
        RequestTimes expected = times.expected(loads.values(), queued);
        return queued.isPlainCall()
                ? new RequestTimes(
                        expected.firstByteMillis(), expected.shortestFirstByteMillis(), capacity.holdMillisOr(true, 0))
                : expected;
    }

    /**
     * Returns the estimate of the length of answers.
     *
     * @return the estimate, to which answers are added.
     */
    public OutputLengthEstimate outputLengths() {
        return times.outputLengths();
    }

    /**
     * Returns the predictions of pauses inside streams.
     *
     * @return the predictions, to which complete streams are added.
     */
    public StreamPauses pauses() {
        return times.pauses();
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
                .mapToInt(capacity::countedSlots)
                .sum();
    }

    /** Returns the rates at which slots are released to this scheduler, as estimates of waits assume them. */
    ReleaseRate releaseRate() {
        return new PoolReleaseRate(this, capacity);
    }

    /** Returns the upstreams in service that may run a request, also those that are silent now. */
    Stream<UpstreamLoad> inServiceFor(QueuedRequest queued, long now) {
        return loads.values().stream().filter(load -> isInService(load, now) && queued.allows(load.upstream()));
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

    /** Returns the upstreams that may run a request now, whether or not a slot is free. */
    List<UpstreamLoad> usable(QueuedRequest queued, long now) {
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
        UpstreamFilter.INSTANCE.removeUnlessAll(candidates, UpstreamLoad::isLeaving);
        boolean appliesEjections = ejected <= inService * MAX_EJECTED_SHARE;
        candidates.removeIf(load ->
                load.isSilent(now) || appliesEjections && load.isEjected(now) || turnsAwayUntil(load, queued) > now);
        return candidates;
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

    /** Returns whether this scheduler may use the upstream, whether or not a slot is free. */
    private boolean isInService(UpstreamLoad load, long now) {
        return acceptsRequests(load, now)
                && !load.isUnreachable(now)
                && (!load.isCold(now) || mayUseCold.test(load.run()));
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
}
