package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Divides scarce slots among the organisations of one pool at one scheduler.
 *
 * <p>An organisation is above its share while slots are scarce and it requests far more slot time for its weight than
 * the others together. A part of its share keeps its place in the queue, for its most urgent requests first; all else
 * that it requests gets what the others of its rank leave. So the others are served as if the excess weren't there, and
 * the organisation gets the rest, which is its share by weighted max-min fairness. It is above its share no longer as
 * soon as nobody waits.
 *
 * <p>The requests of an organisation are spread over all schedulers, so that each scheduler has about the same part of
 * each organisation's requests. What one scheduler receives is therefore enough to compare the organisations, and a
 * scheduler that has just started needs no state of others.
 */
final class FairShares {
    /** Time after a request has found no free slot in which slots count as scarce, in milliseconds. */
    private static final long SCARCITY_MILLIS = 1_000;

    /**
     * Ratio of what an organisation requests to its share beyond which it is above it; the requests of an organisation
     * vary by less from second to second.
     */
    private static final double MAX_SHARE_RATIO = 2;

    /** Requests on top of that, for an organisation that sends few; three in a second may come from one caller. */
    private static final double SPARE_REQUESTS = 2;

    /**
     * Part of its share that keeps its place in the queue while an organisation is above its share. It can't be all of
     * it: the others would then lose what the organisation gets in other ways meanwhile.
     */
    private static final double KEPT_SHARE = 0.5;

    private final ToDoubleFunction<QueuedRequest> slotMillis;
    private final Map<Integer, Map<String, Account>> accountsByRank = new HashMap<>();
    private final Map<Integer, Long> scarceUntilByRank = new HashMap<>();

    /**
     * Creates shares without requests.
     *
     * @param slotMillis returns how long a request probably holds a slot, in milliseconds.
     */
    FairShares(ToDoubleFunction<QueuedRequest> slotMillis) {
        this.slotMillis = slotMillis;
    }

    /** Records that a request was received; late ones don't count, as an organisation has more of them by refusals. */
    void recordDemand(QueuedRequest queued, long now) {
        if (queued.isLate()) {
            return;
        }
        Map<String, Account> accounts = accountsByRank.computeIfAbsent(queued.rank(), key -> new HashMap<>());
        accounts.values().removeIf(account -> account.demand.isNegligible(now));
        Account account = accounts.computeIfAbsent(queued.organisation(), key -> new Account());
        account.demand.add(slotMillis.applyAsDouble(queued), now);
        account.statedWeight = queued.organisationWeight();
    }

    /** Records that a request found no free slot. */
    void recordScarcity(QueuedRequest queued, long now) {
        scarceUntilByRank.put(queued.rank(), now + SCARCITY_MILLIS);
    }

    /** Records that a request was granted a slot. */
    void recordGrant(QueuedRequest queued, long now) {
        Account account = accountsByRank.getOrDefault(queued.rank(), Map.of()).get(queued.organisation());
        if (account != null && !queued.isLate()) {
            account.grants(queued.requirements().tier()).add(slotMillis.applyAsDouble(queued), now);
        }
    }

    /** Returns whether a request belongs to what its organisation requests above its share. */
    boolean isAboveShare(QueuedRequest queued, long now) {
        return new Division(queued.rank(), now).isAboveShare(queued);
    }

    /**
     * Returns waiting requests in the order in which they should get slots: among those of one rank that can be on time,
     * and among late ones, those above the shares of their organisations come last.
     *
     * @param byValue the requests in the order that holds without organisations.
     * @param now the current time in milliseconds.
     * @return the order by shares; the same one where no organisation is above its share.
     */
    List<QueuedRequest> order(List<QueuedRequest> byValue, long now) {
        List<QueuedRequest> ordered = new ArrayList<>(byValue.size());
        List<QueuedRequest> aboveShare = new ArrayList<>();
        Map<Integer, Division> divisions = new HashMap<>();
        QueuedRequest previous = null;
        for (QueuedRequest queued : byValue) {
            if (previous != null && !mayChangePlaces(previous, queued)) {
                ordered.addAll(aboveShare);
                aboveShare.clear();
            }
            Division division = divisions.computeIfAbsent(queued.rank(), rank -> new Division(rank, now));
            (division.take(queued) ? ordered : aboveShare).add(queued);
            previous = queued;
        }
        ordered.addAll(aboveShare);
        return ordered;
    }

    private static boolean mayChangePlaces(QueuedRequest one, QueuedRequest other) {
        return one.isLate() == other.isLate() && one.rank() == other.rank();
    }

    /** Divides slots among the organisations of one rank at one moment. */
    private final class Division {
        private final long now;
        private final Map<String, Account> accounts;
        private final boolean scarce;
        private final double usualWeight;
        private final double demand;
        private final double weights;
        private final Map<String, Map<Integer, Double>> planned = new HashMap<>();

        Division(int rank, long now) {
            this.now = now;
            accounts = accountsByRank.getOrDefault(rank, Map.of());
            scarce = accounts.size() > 1 && now < scarceUntilByRank.getOrDefault(rank, Long.MIN_VALUE);
            usualWeight = scarce ? usualWeight(accounts) : 0;
            double demandSum = 0;
            double weightSum = 0;
            if (scarce) {
                for (Account account : accounts.values()) {
                    demandSum += account.demand.value(now);
                    weightSum += account.weightOr(usualWeight);
                }
            }
            demand = demandSum;
            weights = weightSum;
        }

        /** Returns whether a request is above the share of its organisation after the planned grants. */
        boolean isAboveShare(QueuedRequest queued) {
            Account account = accounts.get(queued.organisation());
            if (!scarce || account == null) {
                return false;
            }
            double ownDemand = account.demand.value(now);
            double ownWeight = account.weightOr(usualWeight);
            double share = ownWeight * (demand - ownDemand) / (weights - ownWeight);
            if (ownDemand <= MAX_SHARE_RATIO * share + SPARE_REQUESTS * slotMillis.applyAsDouble(queued)) {
                return false;
            }
            int tier = queued.requirements().tier();
            return account.granted(tier, now) + plannedFor(queued.organisation(), tier) >= KEPT_SHARE * share;
        }

        /** Plans a grant for a request that isn't above the share of its organisation, and returns whether it isn't. */
        boolean take(QueuedRequest queued) {
            boolean fits = !isAboveShare(queued);
            if (fits && scarce) {
                planned.computeIfAbsent(queued.organisation(), key -> new HashMap<>())
                        .merge(queued.requirements().tier(), slotMillis.applyAsDouble(queued), Double::sum);
            }
            return fits;
        }

        private double plannedFor(String organisation, int leastUrgentTier) {
            double sum = 0;
            for (Map.Entry<Integer, Double> each :
                    planned.getOrDefault(organisation, Map.of()).entrySet()) {
                sum += each.getKey() <= leastUrgentTier ? each.getValue() : 0;
            }
            return sum;
        }

        /** Returns the mean weight of the organisations that state one; it holds for those that state none. */
        private static double usualWeight(Map<String, Account> accounts) {
            return accounts.values().stream()
                    .mapToDouble(account -> account.statedWeight)
                    .filter(weight -> weight > 0)
                    .average()
                    .orElse(1);
        }
    }

    /** Holds what one organisation has requested and was granted lately. */
    private static final class Account {
        private final RecentSum demand = new RecentSum();
        private final Map<Integer, RecentSum> grantsByTier = new HashMap<>();
        private double statedWeight;

        RecentSum grants(int tier) {
            return grantsByTier.computeIfAbsent(tier, key -> new RecentSum());
        }

        /** Returns what was granted to a tier and the more urgent ones. */
        double granted(int leastUrgentTier, long now) {
            double sum = 0;
            for (Map.Entry<Integer, RecentSum> grants : grantsByTier.entrySet()) {
                sum += grants.getKey() <= leastUrgentTier ? grants.getValue().value(now) : 0;
            }
            return sum;
        }

        double weightOr(double usualWeight) {
            return statedWeight > 0 ? statedWeight : usualWeight;
        }
    }

    /** Sums up slot time, of which earlier parts count less. */
    private static final class RecentSum {
        /** Time in which the part of an amount that counts shrinks to about a third, in milliseconds. */
        private static final double MEMORY_MILLIS = 1_000;

        /** Sum that is too small to matter: less than one request of a second ten seconds ago. */
        private static final double NEGLIGIBLE_MILLIS = 0.05;

        private double sum;
        private long countedAt;

        void add(double amount, long now) {
            sum = value(now) + amount;
            countedAt = now;
        }

        double value(long now) {
            return sum * Math.exp((countedAt - now) / MEMORY_MILLIS);
        }

        boolean isNegligible(long now) {
            return value(now) < NEGLIGIBLE_MILLIS;
        }
    }
}
