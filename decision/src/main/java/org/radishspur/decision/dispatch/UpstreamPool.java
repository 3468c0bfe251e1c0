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

import org.radishspur.decision.dispatch.UpstreamLoad.Timeliness;
import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.Upstream;

/**
 * Holds the upstreams of one pool as one scheduler knows them, and chooses the one that should serve a request.
 */
public final class UpstreamPool {
    /** How much a full upstream counts as slower than an empty one; it spreads work over equals. */
    private static final double UTILISATION_PENALTY = 0.5;

    /**
     * How much an upstream in another failure domain counts as slower. Bytes between domains are paid for, while a full
     * engine of the own domain is only a little slower than an empty one elsewhere; it still yields to that, as utilisation
     * counts for up to a half.
     */
    private static final double CROSS_DOMAIN_PENALTY = 1.3;

    /** At most this share of a pool may be ejected for failures, lest a fault of the requests empties the pool. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /**
     * By how much one scheduler may prefer an upstream to an equal one. Each has an order of its own, so that those that know
     * the same don't all choose the same upstream before they have each other's reports.
     */
    private static final double MAX_PREFERENCE = 0.15;

    /** An upstream is slow that takes this many times as long as the fastest; load alone slows one by up to a half. */
    private static final double SLOW_FACTOR = 2;

    /** What part of a request's cost is reading its prompt, where that is long beside its answer. */
    private static final double MAX_PREFIX_SAVING = 0.6;

    /**
     * How many times as long as its caller expects an answer may get, while there is time to be selective; one in
     * ten gets longer than that.
     */
    private static final double EARLY_LENGTH_FACTOR = 2.0;

    /** The same once a request has waited in vain; an upstream that is likely to be in time is then better than none. */
    private static final double LATER_LENGTH_FACTOR = 1.15;

    /** Upstreams whose times differ by less than this factor count as equally fast; load alone makes as much. */
    private static final double SIMILAR_SPEED_FACTOR = 1.3;

    /**
     * By how much the costs of upstreams may differ among which one is drawn; less than the penalty for another failure
     * domain.
     */
    private static final double MAX_COST_SPREAD = 0.25;

    private final String self;
    private final String ownDomain;
    private final int defaultSlots;
    private final Map<String, UpstreamLoad> loads = new HashMap<>();
    private final OutputLengthEstimate outputs = new OutputLengthEstimate();
    private final FirstByteModel firstByte = new FirstByteModel();
    private final Random random;
    private int schedulerCount = 1;
    private final ReportStaleness staleness = new ReportStaleness();
    private Set<String> evacuatedDomains = Set.of();
    private ColdStart coldStartRule = ColdStart.NONE;
    private Predicate<String> mayUseCold = run -> true;

    /**
     * Creates a pool without upstreams.
     *
     * @param self the name of this scheduler, which sets it apart from others.
     * @param ownDomain the failure domain of this scheduler.
     * @param defaultSlots how many requests an upstream runs at once where the host list doesn't tell.
     */
    public UpstreamPool(String self, String ownDomain, int defaultSlots) {
        this.self = self;
        this.random = new Random(self.hashCode());
        this.ownDomain = ownDomain;
        this.defaultSlots = defaultSlots;
    }

    /** Notes for how long a request that was answered has held its slot. */
    void recordHold(long millis) {
        staleness.recordHold(millis);
    }

    /**
     * Notes how many schedulers share the upstreams.
     *
     * @param count the number, this one included.
     */
    public void schedulers(int count) {
        schedulerCount = Math.max(1, count);
        loads.values().forEach(this::updatePoolTimes);
    }

    /**
     * Sets what upstreams bear while they are cold, and which of them this scheduler may then use. One scheduler alone may
     * use each, so that all together stay within what it bears however many there are and whatever they know of each other.
     *
     * @param rule what upstreams bear.
     * @param mayUse says of the run of an upstream whether it may be used here while it is cold.
     */
    public void coldStart(ColdStart rule, Predicate<String> mayUse) {
        mayUseCold = mayUse;
        if (!rule.equals(coldStartRule)) {
            coldStartRule = rule;
            loads.values().forEach(load -> load.setColdStart(rule));
        }
    }

    /**
     * Sets the failure domains whose upstreams get no new request. Upstreams of one that is taken back may have been started
     * again meanwhile.
     *
     * @param failureDomains the evacuated failure domains.
     * @param now the clock in milliseconds.
     */
    public void evacuate(Set<String> failureDomains, long now) {
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
     * Takes over the newest host list.
     *
     * @param listed the upstreams of this pool.
     */
    public void refresh(Collection<Upstream> listed) {
        Set<String> runs = new HashSet<>();
        for (Upstream upstream : listed) {
            String run = upstream.run();
            runs.add(run);
            UpstreamLoad known = loads.get(run);
            if (known == null) {
                UpstreamLoad load = new UpstreamLoad(upstream, firstByte, self);
                load.setColdStart(coldStartRule);
                loads.put(run, load);
            } else {
                known.update(upstream);
            }
        }
        loads.values().forEach(this::updatePoolTimes);
        loads.values().forEach(load -> load.listed(runs.contains(load.run())));
        loads.values().removeIf(load -> !load.isListed() && load.own() == 0);
    }

    /** A scheduler whose part of an upstream's slots is less than one hardly ever has an answer of it to learn from. */
    private void updatePoolTimes(UpstreamLoad load) {
        load.usesPoolTimes(schedulerCount > slots(load));
    }

    /**
     * Chooses an upstream with a free slot.
     *
     * <p>Engines of one pool differ several times in speed. A long answer that a slow one can't finish in time, and a long
     * prompt that would hold up its neighbours, wait for a faster one as long as that makes sense.
     *
     * @param queued the request.
     * @param reserved the share of the slots that the request leaves free, among fast upstreams and among slow ones.
     * @param now the clock in milliseconds.
     * @return the upstream, or nothing where no slot is free.
     */
    public Optional<UpstreamLoad> choose(QueuedRequest queued, double reserved, long now) {
        List<UpstreamLoad> usable = usable(queued, now);
        if (reserved > 0) {
            removeReserved(usable, reserved, now);
        }
        if (usable.stream().noneMatch(load -> hasFreeSlot(load, now))) {
            return Optional.empty();
        }
        boolean early = now < queued.selectiveUntil();
        double events = outputs.events(
                queued.work().outputTokens(),
                early ? EARLY_LENGTH_FACTOR : LATER_LENGTH_FACTOR,
                queued.work().outputLimit());
        boolean untriedExist = usable.stream().anyMatch(load -> !queued.avoids(load.run()));
        if (untriedExist) {
            // Where every upstream that is left was tried before, one of them is better than none.
            usable.removeIf(load -> queued.avoids(load.run()));
        }
        Set<UpstreamLoad> affinityTargets = affinityTargets(queued, now);
        Timeliness bestTimeliness = usable.stream()
                .map(load -> timeliness(load, queued, affinityTargets, events, now))
                .min(Comparator.naturalOrder())
                .orElse(Timeliness.TOO_LATE);
        boolean selective = bestTimeliness != Timeliness.LATE && early;
        Timeliness worstAccepted = bestTimeliness == Timeliness.TOO_LATE
                ? Timeliness.TOO_LATE
                : selective ? bestTimeliness : Timeliness.LATE;
        usable.removeIf(
                load -> timeliness(load, queued, affinityTargets, events, now).compareTo(worstAccepted) > 0);
        if (bestTimeliness == Timeliness.TOO_LATE) {
            removeSlower(usable, queued, affinityTargets, events);
        }
        Optional<UpstreamLoad> chosen = best(usable, queued, affinityTargets, events, now);
        chosen.ifPresent(load -> queued.setCachedTokens(cachedTokens(load, queued, affinityTargets)));
        return chosen;
    }

    /**
     * Takes out all but the fastest upstreams. Guards against a very long answer that is sent to a slow engine, where it holds
     * a slot until its caller leaves with nothing: it may be longer than even the fast ones can give in time, but is most
     * likely to end there, as estimates are often too long.
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
        return load.totalMillis(queued.work().promptTokens() - cachedTokens(load, queued, affinityTargets), events);
    }

    private static long cachedTokens(UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets) {
        return affinityTargets.contains(load) ? queued.work().prefix().tokens() : 0;
    }

    /**
     * Returns the upstreams that should keep the beginning of a request's prompt. Slow ones are left out: reading it there
     * takes longer than reading it again at a fast one.
     */
    private Set<UpstreamLoad> affinityTargets(QueuedRequest queued, long now) {
        if (!queued.work().prefix().isWorthCaching()) {
            return Set.of();
        }
        double slowAboveMillis = shortestEventMillis(loads.values()) * SLOW_FACTOR;
        List<UpstreamLoad> candidates = loads.values().stream()
                .filter(load -> isInService(load, now) && !isSlow(load, slowAboveMillis))
                .toList();
        return Set.copyOf(PrefixAffinity.INSTANCE.affinityTargets(queued.work().prefix(), candidates));
    }

    private static Timeliness timeliness(
            UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affinityTargets, double events, long now) {
        long uncachedTokens = queued.work().promptTokens() - cachedTokens(load, queued, affinityTargets);
        return load.timeliness(queued.work(), uncachedTokens, events, now);
    }

    /**
     * Returns what is known of the length of answers.
     *
     * @return the estimate, to which answers are added.
     */
    public OutputLengthEstimate outputs() {
        return outputs;
    }

    /**
     * Finds an upstream by its run.
     *
     * @param run the run.
     * @return the upstream, or nothing where it is unknown.
     */
    public Optional<UpstreamLoad> find(String run) {
        return Optional.ofNullable(loads.get(run));
    }

    /**
     * Returns all upstreams that are listed or still at work for this scheduler.
     *
     * @return the upstreams.
     */
    public Collection<UpstreamLoad> loads() {
        return loads.values();
    }

    /**
     * Returns the upstreams to which no connection could be made lately.
     *
     * @param now the clock in milliseconds.
     * @return their runs.
     */
    public List<String> unreachable(long now) {
        return loads.values().stream()
                .filter(load -> load.isUnreachable(now))
                .map(UpstreamLoad::run)
                .toList();
    }

    /**
     * Returns how many slots are listed, free or taken, at upstreams that take new work.
     *
     * @param now the clock in milliseconds.
     * @return the number.
     */
    public int slots(long now) {
        return loads.values().stream()
                .filter(load -> isInService(load, now))
                .mapToInt(this::slots)
                .sum();
    }

    /**
     * Returns the usual share of failed answers in the pool.
     *
     * @return the median over its upstreams.
     */
    public double usualFailures() {
        double[] shares = loads.values().stream()
                .mapToDouble(UpstreamLoad::failureShare)
                .sorted()
                .toArray();
        return shares.length == 0 ? 0 : shares[shares.length / 2];
    }

    /**
     * Returns whether the upstreams allow a choice between versions.
     *
     * @param version a version.
     * @return whether an upstream of that version takes work.
     */
    public boolean hasVersion(String version) {
        return loads.values().stream()
                .anyMatch(load -> takesWork(load) && load.upstream().version().equals(version));
    }

    private List<UpstreamLoad> usable(QueuedRequest queued, long now) {
        List<UpstreamLoad> listed = new ArrayList<>();
        int reachable = 0;
        int ejected = 0;
        for (UpstreamLoad load : loads.values()) {
            if (isInService(load, now)
                    && queued.versions().allows(load.upstream().version())) {
                listed.add(load);
                reachable++;
                ejected += load.isEjected(now) ? 1 : 0;
            }
        }
        boolean appliesEjections = ejected <= reachable * MAX_EJECTED_SHARE;
        listed.removeIf(load -> load.isSilent(now) || appliesEjections && load.isEjected(now));
        return listed;
    }

    /**
     * Takes out the fast upstreams, or the slow ones, where too few slots are left there for more urgent requests. Guards
     * against an urgent request that waits while a less urgent one is served: free slots on slow engines, where the urgent
     * one doesn't go, must not count for the fast ones.
     */
    private void removeReserved(List<UpstreamLoad> usable, double reserved, long now) {
        double slowAboveMillis = shortestEventMillis(loads.values()) * SLOW_FACTOR;
        for (boolean slow : new boolean[] {false, true}) {
            if (freeShare(slow, slowAboveMillis, now) <= reserved) {
                usable.removeIf(load -> isSlow(load, slowAboveMillis) == slow);
            }
        }
    }

    private double freeShare(boolean slow, double slowAboveMillis, long now) {
        int slots = 0;
        int free = 0;
        for (UpstreamLoad load : loads.values()) {
            if (isSlow(load, slowAboveMillis) == slow && isInService(load, now)) {
                slots += slots(load);
                free += freeSlots(load);
            }
        }
        return slots == 0 ? 0 : (double) free / slots;
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
            double events,
            long now) {
        double fastest = shortestEventMillis(usable);
        List<Candidate> candidates = usable.stream()
                .filter(load -> hasFreeSlot(load, now))
                .map(load -> new Candidate(
                        load,
                        timeliness(load, queued, affinityTargets, events, now),
                        cost(load, queued, fastest) * prefixCostFactor(load, queued.work(), affinityTargets)))
                .sorted(Comparator.comparing(Candidate::timeliness).thenComparingDouble(Candidate::cost))
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(drawAmongBest(candidates));
    }

    /**
     * Draws one of those that are about as good as the best, each by its free slots.
     *
     * <p>Guards against a rush: what schedulers know of each other is some ten to some hundred milliseconds old, and all that see
     * the same best slot would take it, so that requests wait inside one engine while others stand empty.
     */
    private UpstreamLoad drawAmongBest(List<Candidate> candidates) {
        Candidate best = candidates.get(0);
        // A scheduler that is alone knows all that is in progress, and takes the best.
        double maxCost = best.cost() * (1 + MAX_COST_SPREAD * (1 - 1.0 / schedulerCount));
        List<UpstreamLoad> similar = candidates.stream()
                .filter(each -> each.timeliness() == best.timeliness() && each.cost() <= maxCost)
                .map(Candidate::load)
                .toList();
        int free = similar.stream().mapToInt(this::freeSlots).sum();
        int remaining = free > 0 ? random.nextInt(free) : 0;
        for (UpstreamLoad load : similar) {
            remaining -= freeSlots(load);
            if (remaining < 0) {
                return load;
            }
        }
        return best.load();
    }

    private int freeSlots(UpstreamLoad load) {
        return Math.max(0, slots(load) - load.inProgress());
    }

    /**
     * Returns whether one more request may be sent. Guards against a rush to an upstream that has just been listed: it
     * counts as fast until it is tried, all schedulers see it empty at once, and as a slow one with twice its slots taken it
     * answers nobody in time. Each scheduler takes its part of the slots until the time for an event is known.
     */
    private boolean hasFreeSlot(UpstreamLoad load, long now) {
        if (load.isCold(now) && !load.allowsColdRequest(now)) {
            return false;
        }
        if (load.isOnProbation()) {
            return load.inProgress() < 1;
        }
        if (schedulerCount > 1 && !isOwnDomain(load) && now - load.lastSentAt() < staleness.spacingMillis()) {
            return false;
        }
        int slots = slots(load) + (schedulerCount > 1 ? staleness.unreportedReleases(slots(load)) : 0);
        int ownShare = load.isEventTimeKnown() ? slots : Math.max(1, slots / schedulerCount);
        return load.inProgress() < slots && load.own() < ownShare;
    }

    /** Returns what part of its cost a request has at an upstream that keeps the beginning of its prompt. */
    private static double prefixCostFactor(
            UpstreamLoad load, QueuedRequest.Work work, Set<UpstreamLoad> affinityTargets) {
        if (!affinityTargets.contains(load)) {
            return 1;
        }
        double share = (double) work.prefix().tokens() / Math.max(1, work.promptTokens());
        return 1 - MAX_PREFIX_SAVING * Math.min(1, share);
    }

    private double cost(UpstreamLoad load, QueuedRequest queued, double fastest) {
        // An upstream that nobody has tried counts as one of the fastest, so that its speed is learnt at once.
        double eventTime = load.isEventTimeKnown() ? load.eventMillis() : fastest;
        double utilisation = 1 + UTILISATION_PENALTY * load.inProgress() / slots(load);
        boolean sameDomain = load.upstream().failureDomain().equals(queued.entryDomainOr(ownDomain));
        double penalty = sameDomain ? 1 : CROSS_DOMAIN_PENALTY;
        return eventTime * utilisation * penalty * (1 + MAX_PREFERENCE * load.preference());
    }

    /** Returns whether the upstream is in service for this scheduler, whether or not a slot is free. */
    private boolean isInService(UpstreamLoad load, long now) {
        return takesWork(load) && !load.isUnreachable(now) && (!load.isCold(now) || mayUseCold.test(load.run()));
    }

    private boolean isOwnDomain(UpstreamLoad load) {
        return load.upstream().failureDomain().equals(ownDomain);
    }

    /**
     * Returns whether an upstream may get new work.
     *
     * @param load the upstream.
     * @return whether it is listed, isn't leaving, wasn't replaced and stands in no evacuated failure domain.
     */
    public boolean takesWork(UpstreamLoad load) {
        return !load.upstream().leaving() && !load.isReplaced() && !isEvacuated(load) && load.isListed();
    }

    /**
     * Holds an upstream with a free slot, and how well it would do.
     *
     * @param load the upstream.
     * @param timeliness how well it is likely to do.
     * @param cost how long it takes, compared with others.
     */
    private record Candidate(UpstreamLoad load, Timeliness timeliness, double cost) {}

    private int slots(UpstreamLoad load) {
        return Math.max(1, load.upstream().slots() > 0 ? load.upstream().slots() : defaultSlots);
    }
}
