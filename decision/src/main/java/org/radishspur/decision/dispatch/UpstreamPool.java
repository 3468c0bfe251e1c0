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
    private static final double LARGEST_EJECTED_SHARE = 0.5;

    /**
     * By how much one scheduler may prefer an upstream to an equal one. Each has an order of its own, so that those that know
     * the same don't all choose the same upstream before they have each other's reports.
     */
    private static final double LARGEST_PREFERENCE = 0.15;

    /** An upstream is slow that takes this many times as long as the fastest; load alone slows one by up to a half. */
    private static final double SLOW_FACTOR = 2;

    /** What part of a request's cost is reading its prompt, where that is long beside its answer. */
    private static final double GREATEST_SAVING = 0.6;

    /**
     * How many times as long as its caller expects an answer may get, while there is time to be selective; one in
     * ten gets longer than that.
     */
    private static final double LONGEST_ANSWER = 2.0;

    /** The same once a request has waited in vain; an upstream that is likely to be in time is then better than none. */
    private static final double LIKELY_ANSWER = 1.15;

    /** Upstreams whose times differ by less than this factor count as equally fast; load alone makes as much. */
    private static final double ABOUT_AS_FAST = 1.3;

    /**
     * By how much the costs of upstreams may differ among which one is drawn; less than the penalty for another failure
     * domain.
     */
    private static final double LARGEST_SPREAD = 0.25;

    private final String self;
    private final String ownDomain;
    private final int slotsByDefault;
    private final Map<String, UpstreamLoad> loads = new HashMap<>();
    private final OutputEstimate outputs = new OutputEstimate();
    private final FirstByteModel firstByte = new FirstByteModel();
    private final Random draws;
    private int schedulers = 1;
    private final ReportStaleness reports = new ReportStaleness();
    private Set<String> evacuated = Set.of();
    private ColdStart coldStart = ColdStart.NONE;
    private Predicate<String> servesCold = run -> true;

    /**
     * Creates a pool without upstreams.
     *
     * @param self the name of this scheduler, which sets it apart from others.
     * @param ownDomain the failure domain of this scheduler.
     * @param slotsByDefault how many requests an upstream runs at once where the host list doesn't tell.
     */
    public UpstreamPool(String self, String ownDomain, int slotsByDefault) {
        this.self = self;
        this.draws = new Random(self.hashCode());
        this.ownDomain = ownDomain;
        this.slotsByDefault = slotsByDefault;
    }

    /** Notes for how long a request that was answered has held its slot. */
    void held(long millis) {
        reports.held(millis);
    }

    /**
     * Notes how many schedulers share the upstreams.
     *
     * @param number the number, this one included.
     */
    public void schedulers(int number) {
        schedulers = Math.max(1, number);
        loads.values().forEach(this::notePart);
    }

    /**
     * Sets what upstreams bear while they are cold, and which of them this scheduler may then use. One scheduler alone may
     * use each, so that all together stay within what it bears however many there are and whatever they know of each other.
     *
     * @param rule what upstreams bear.
     * @param served says of the run of an upstream whether it may be used here while it is cold.
     */
    public void coldStart(ColdStart rule, Predicate<String> served) {
        servesCold = served;
        if (!rule.equals(coldStart)) {
            coldStart = rule;
            loads.values().forEach(load -> load.coldStart(rule));
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
        Set<String> before = evacuated;
        evacuated = failureDomains;
        loads.values().stream()
                .filter(load -> before.contains(load.upstream().failureDomain()) && !isEvacuated(load))
                .forEach(load -> load.mayHaveStarted(now));
    }

    private boolean isEvacuated(UpstreamLoad load) {
        return evacuated.contains(load.upstream().failureDomain());
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
                load.coldStart(coldStart);
                loads.put(run, load);
            } else {
                known.update(upstream);
            }
        }
        loads.values().forEach(this::notePart);
        loads.values().forEach(load -> load.listed(runs.contains(load.run())));
        loads.values().removeIf(load -> !load.isListed() && load.own() == 0);
    }

    /** A scheduler whose part of an upstream's slots is less than one hardly ever has an answer of it to learn from. */
    private void notePart(UpstreamLoad load) {
        load.followsPool(schedulers > slots(load));
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
            leaveReserved(usable, reserved, now);
        }
        if (usable.stream().noneMatch(load -> hasFreeSlot(load, now))) {
            return Optional.empty();
        }
        boolean early = now < queued.selectiveUntil();
        double events = outputs.events(
                queued.work().outputTokens(),
                early ? LONGEST_ANSWER : LIKELY_ANSWER,
                queued.work().outputLimit());
        boolean untriedExist = usable.stream().anyMatch(load -> !queued.avoids(load.run()));
        if (untriedExist) {
            // Where every upstream that is left was tried before, one of them is better than none.
            usable.removeIf(load -> queued.avoids(load.run()));
        }
        Set<UpstreamLoad> affine = affine(queued, now);
        Timeliness reachable = usable.stream()
                .map(load -> timeliness(load, queued, affine, events, now))
                .min(Comparator.naturalOrder())
                .orElse(Timeliness.TOO_LATE);
        boolean selective = reachable != Timeliness.LATE && early;
        Timeliness worstTaken =
                reachable == Timeliness.TOO_LATE ? Timeliness.TOO_LATE : selective ? reachable : Timeliness.LATE;
        usable.removeIf(load -> timeliness(load, queued, affine, events, now).compareTo(worstTaken) > 0);
        if (reachable == Timeliness.TOO_LATE) {
            keepLeastLate(usable, queued, affine, events);
        }
        Optional<UpstreamLoad> chosen = best(usable, queued, affine, events, now);
        chosen.ifPresent(load -> queued.expectKept(keptTokens(load, queued, affine)));
        return chosen;
    }

    /**
     * Takes out all but the fastest upstreams. Guards against a very long answer that is sent to a slow engine, where it holds
     * a slot until its caller leaves with nothing: it may be longer than even the fast ones can give in time, but is most
     * likely to end there, as estimates are often too long.
     */
    private static void keepLeastLate(
            List<UpstreamLoad> usable, QueuedRequest queued, Set<UpstreamLoad> affine, double events) {
        double shortest = usable.stream()
                .mapToDouble(load -> wholeMillis(load, queued, affine, events))
                .min()
                .orElse(0);
        usable.removeIf(load -> wholeMillis(load, queued, affine, events) > shortest * ABOUT_AS_FAST);
    }

    private static double wholeMillis(
            UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affine, double events) {
        return load.wholeMillis(queued.work().promptTokens() - keptTokens(load, queued, affine), events);
    }

    private static long keptTokens(UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affine) {
        return affine.contains(load) ? queued.work().prefix().tokens() : 0;
    }

    /**
     * Returns the upstreams that should keep the beginning of a request's prompt. Slow ones are left out: reading it there
     * takes longer than reading it again at a fast one.
     */
    private Set<UpstreamLoad> affine(QueuedRequest queued, long now) {
        if (!queued.work().prefix().isWorthKeeping()) {
            return Set.of();
        }
        double slowest = shortestEventMillis(loads.values()) * SLOW_FACTOR;
        List<UpstreamLoad> candidates = loads.values().stream()
                .filter(load -> isOpen(load, now) && !isSlow(load, slowest))
                .toList();
        return Set.copyOf(PrefixAffinity.INSTANCE.affine(queued.work().prefix(), candidates));
    }

    private static Timeliness timeliness(
            UpstreamLoad load, QueuedRequest queued, Set<UpstreamLoad> affine, double events, long now) {
        long unread = queued.work().promptTokens() - keptTokens(load, queued, affine);
        return load.timeliness(queued.work(), unread, events, now);
    }

    /**
     * Returns what is known of the length of answers.
     *
     * @return the estimate, to which answers are added.
     */
    public OutputEstimate outputs() {
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
                .filter(load -> isOpen(load, now))
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
            if (isOpen(load, now) && queued.versions().allows(load.upstream().version())) {
                listed.add(load);
                reachable++;
                ejected += load.isEjected(now) ? 1 : 0;
            }
        }
        boolean heedsEjections = ejected <= reachable * LARGEST_EJECTED_SHARE;
        listed.removeIf(load -> load.isSilent(now) || heedsEjections && load.isEjected(now));
        return listed;
    }

    /**
     * Takes out the fast upstreams, or the slow ones, where too few slots are left there for more urgent requests. Guards
     * against an urgent request that waits while a less urgent one is served: free slots on slow engines, where the urgent
     * one doesn't go, must not count for the fast ones.
     */
    private void leaveReserved(List<UpstreamLoad> usable, double reserved, long now) {
        double slowest = shortestEventMillis(loads.values()) * SLOW_FACTOR;
        for (boolean slow : new boolean[] {false, true}) {
            if (freeShare(slow, slowest, now) <= reserved) {
                usable.removeIf(load -> isSlow(load, slowest) == slow);
            }
        }
    }

    private double freeShare(boolean slow, double slowest, long now) {
        int slots = 0;
        int free = 0;
        for (UpstreamLoad load : loads.values()) {
            if (isSlow(load, slowest) == slow && isOpen(load, now)) {
                slots += slots(load);
                free += freeSlots(load);
            }
        }
        return slots == 0 ? 0 : (double) free / slots;
    }

    private static boolean isSlow(UpstreamLoad load, double slowest) {
        return load.isEventTimeKnown() && load.eventMillis() > slowest;
    }

    private static double shortestEventMillis(Collection<UpstreamLoad> among) {
        return among.stream()
                .filter(UpstreamLoad::isEventTimeKnown)
                .mapToDouble(UpstreamLoad::eventMillis)
                .min()
                .orElse(1);
    }

    private Optional<UpstreamLoad> best(
            List<UpstreamLoad> usable, QueuedRequest queued, Set<UpstreamLoad> affine, double events, long now) {
        double fastest = shortestEventMillis(usable);
        List<Candidate> candidates = usable.stream()
                .filter(load -> hasFreeSlot(load, now))
                .map(load -> new Candidate(
                        load,
                        timeliness(load, queued, affine, events, now),
                        cost(load, queued, fastest) * saving(load, queued.work(), affine)))
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
        double mostCost = best.cost() * (1 + LARGEST_SPREAD * (1 - 1.0 / schedulers));
        List<UpstreamLoad> drawn = candidates.stream()
                .filter(each -> each.timeliness() == best.timeliness() && each.cost() <= mostCost)
                .map(Candidate::load)
                .toList();
        int free = drawn.stream().mapToInt(this::freeSlots).sum();
        int left = free > 0 ? draws.nextInt(free) : 0;
        for (UpstreamLoad load : drawn) {
            left -= freeSlots(load);
            if (left < 0) {
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
        if (load.isCold(now) && !load.bearsOneMore(now)) {
            return false;
        }
        if (load.isOnProbation()) {
            return load.inProgress() < 1;
        }
        if (schedulers > 1 && !isOwnDomain(load) && now - load.lastBeganAt() < reports.spacingMillis()) {
            return false;
        }
        int slots = slots(load) + (schedulers > 1 ? reports.unreportedReleases(slots(load)) : 0);
        int part = load.isEventTimeKnown() ? slots : Math.max(1, slots / schedulers);
        return load.inProgress() < slots && load.own() < part;
    }

    /** Returns what part of its cost a request has at an upstream that keeps the beginning of its prompt. */
    private static double saving(UpstreamLoad load, QueuedRequest.Work work, Set<UpstreamLoad> affine) {
        if (!affine.contains(load)) {
            return 1;
        }
        double share = (double) work.prefix().tokens() / Math.max(1, work.promptTokens());
        return 1 - GREATEST_SAVING * Math.min(1, share);
    }

    private double cost(UpstreamLoad load, QueuedRequest queued, double fastest) {
        // An upstream that nobody has tried counts as one of the fastest, so that its speed is learnt at once.
        double pace = load.isEventTimeKnown() ? load.eventMillis() : fastest;
        double utilisation = 1 + UTILISATION_PENALTY * load.inProgress() / slots(load);
        boolean near = load.upstream().failureDomain().equals(queued.preferredDomainOr(ownDomain));
        double penalty = near ? 1 : CROSS_DOMAIN_PENALTY;
        return pace * utilisation * penalty * (1 + LARGEST_PREFERENCE * load.preference());
    }

    /** Returns whether the upstream is in service for this scheduler, whether or not a slot is free. */
    private boolean isOpen(UpstreamLoad load, long now) {
        return takesWork(load) && !load.isUnreachable(now) && (!load.isCold(now) || servesCold.test(load.run()));
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
        return Math.max(1, load.upstream().slots() > 0 ? load.upstream().slots() : slotsByDefault);
    }
}
