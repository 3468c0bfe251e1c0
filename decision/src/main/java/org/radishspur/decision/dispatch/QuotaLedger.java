package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Keeps what organisations may use, over all schedulers together.
 *
 * <p>Each scheduler keeps the same token bucket for an organisation and takes from it what it admits itself and, a moment
 * later, what its peers report to have admitted. What several admit in the same moment brings the bucket below zero, and is
 * refilled before anything more is admitted, so that the excess doesn't grow with time.
 */
public final class QuotaLedger {
    /**
     * How long after its own first event a scheduler takes the first reports of peers for use before its start, in
     * milliseconds; links to all peers are made well within it.
     */
    private static final long STARTUP_MILLIS = 2_000;

    /**
     * The share of a bucket that late requests leave to those that can still be on time. Guards against a shortage in which
     * the refused retry and take what fresh ones need, so that these are refused and late in turn.
     */
    private static final double ON_TIME_RESERVE_SHARE = 0.25;

    /**
     * The share of a limit that all schedulers together keep for small requests. Guards against an organisation whose short calls
     * are refused because its own long prompts have used its limit up, though all of them together would take a small part.
     */
    private static final double SMALL_REQUEST_SHARE = 0.2;

    /** What the kept share may gather to at one scheduler, in milliseconds of it; each exceeds the limit once by no more. */
    private static final long SMALL_RESERVE_MILLIS = 50;

    /** A request is small whose cost is less than this part of the organisation's usual one. */
    private static final double SMALL_COST_RATIO = 0.25;

    /** The part of the newest cost in the average; some hundred requests outweigh the older ones. */
    private static final double COST_AVERAGE_WEIGHT = 0.01;

    /**
     * After so long without a report of a peer, its use meanwhile is taken as at a start, in milliseconds; all use is reported
     * several times a second.
     */
    private static final long PEER_SILENCE_MILLIS = 900;

    /** How much is owed at most after a start, in milliseconds of the rate: half a round of reports. */
    private static final long STARTUP_DEBT_MILLIS = 20;

    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final Tolerance tolerance;
    private long startedAt = NOT_STARTED;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Long> localUse = new HashMap<>();
    private final Map<String, Map<String, PeerUse>> peerUse = new HashMap<>();

    /**
     * Creates a ledger without use.
     *
     * @param tolerance how far the limits may be exceeded.
     */
    public QuotaLedger(Tolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Takes the cost of a request from its organisation's limit.
     *
     * @param organisation the organisation.
     * @param cost the cost in the unit of the limit.
     * @param late whether the request has come too late to be answered on time, as one that was refused before.
     * @param now the clock in milliseconds.
     * @return nothing where it is admitted, else after how many milliseconds there will be room again.
     */
    public Optional<Long> take(OrganisationRule organisation, double cost, boolean late, long now) {
        if (organisation.ratePerSecond() <= 0) {
            return Optional.empty();
        }
        recordStart(now);
        Bucket bucket = bucketOf(organisation, now);
        double minLevel = late ? capacity(organisation) * ON_TIME_RESERVE_SHARE : 0;
        boolean small = bucket.isSmall(cost);
        bucket.costs.add(cost);
        if (bucket.level <= minLevel && !(small && bucket.takeFromSmallReserve(cost))) {
            double rate = organisation.ratePerSecond() / 1_000;
            return Optional.of((long) Math.ceil((minLevel + cost - bucket.level) / rate));
        }
        bucket.level -= cost;
        localUse.merge(organisation.name(), (long) cost, Long::sum);
        return Optional.empty();
    }

    /**
     * Gives back the cost of a request that has not run.
     *
     * @param organisation the organisation.
     * @param cost the cost that was taken.
     */
    public void giveBack(OrganisationRule organisation, double cost) {
        Bucket bucket = buckets.get(organisation.name());
        if (bucket != null && organisation.ratePerSecond() > 0) {
            bucket.level += cost;
            localUse.merge(organisation.name(), -(long) cost, Long::sum);
        }
    }

    /**
     * Returns what this scheduler has admitted since it started.
     *
     * @return the use by organisation.
     */
    public Map<String, Long> usedHere() {
        return localUse;
    }

    /**
     * Takes note of what a peer has admitted since it started.
     *
     * @param peer the run of the peer.
     * @param organisation the organisation.
     * @param total the use.
     * @param now the clock in milliseconds.
     */
    public void recordPeerUse(String peer, OrganisationRule organisation, long total, long now) {
        Map<String, PeerUse> peerUses = peerUse.computeIfAbsent(peer, key -> new HashMap<>());
        PeerUse previous = peerUses.put(organisation.name(), new PeerUse(total, now));
        if (organisation.ratePerSecond() <= 0) {
            return;
        }
        Bucket bucket = bucketOf(organisation, now);
        if (previous != null && now - previous.reportedAt() <= PEER_SILENCE_MILLIS) {
            bucket.level -= total - previous.total();
            return;
        }
        // A first report sums up all that the peer has admitted so far; of that, no more than a whole bucket can still
        // be
        // missing here.
        double unseenUse = Math.min(total - (previous == null ? 0 : previous.total()), capacity(organisation));
        boolean mayBeOld = previous != null || isStartingUp(now);
        bucket.level -= mayBeOld ? Math.min(unseenUse, maxCatchUpCost(organisation, bucket)) : unseenUse;
    }

    /**
     * Returns the most that is taken of use that was refilled long ago, for the greater part.
     *
     * <p>Guards against refusing what is within the limit: a scheduler that has just started, or was cut off, receives the whole
     * use of each peer at once, and would owe seconds of the rate. It goes on with a bucket that is just empty instead.
     */
    private static double maxCatchUpCost(OrganisationRule organisation, Bucket bucket) {
        double debt = organisation.ratePerSecond() * STARTUP_DEBT_MILLIS / 1_000;
        return Math.max(0, bucket.level + debt);
    }

    private void recordStart(long now) {
        if (startedAt == NOT_STARTED) {
            startedAt = now;
        }
    }

    private boolean isStartingUp(long now) {
        recordStart(now);
        return now - startedAt < STARTUP_MILLIS;
    }

    private Bucket bucketOf(OrganisationRule organisation, long now) {
        double rate = organisation.ratePerSecond() * (1 + tolerance.share());
        double capacity = capacity(organisation);
        Bucket bucket = buckets.get(organisation.name());
        if (bucket == null) {
            bucket = new Bucket(capacity, now);
            buckets.put(organisation.name(), bucket);
        }
        bucket.refill(rate, capacity, SMALL_REQUEST_SHARE / countSchedulers(organisation, now), now);
        return bucket;
    }

    /** Counts the schedulers that admit requests of an organisation: this one, and the peers that report its use. */
    private int countSchedulers(OrganisationRule organisation, long now) {
        int count = 1;
        for (Map<String, PeerUse> uses : peerUse.values()) {
            PeerUse use = uses.get(organisation.name());
            if (use != null && now - use.reportedAt() <= PEER_SILENCE_MILLIS) {
                count++;
            }
        }
        return count;
    }

    private double capacity(OrganisationRule organisation) {
        return organisation.burst() + tolerance.amount();
    }

    /**
     * Says how far a limit may be exceeded, so that what is within it is never refused because schedulers disagree.
     *
     * @param share the part by which the rate may be exceeded.
     * @param amount what may be used beyond the burst, in the unit of the limit.
     */
    public record Tolerance(double share, double amount) {
        /** Allows no excess. */
        public static final Tolerance NONE = new Tolerance(0, 0);
    }

    /**
     * Holds what a peer has reported.
     *
     * @param total what it has admitted since it started.
     * @param reportedAt when it reported that, in milliseconds.
     */
    private record PeerUse(long total, long reportedAt) {}

    /** Holds what is left of one limit. */
    private static final class Bucket {
        private final MovingAverage costs = new MovingAverage(COST_AVERAGE_WEIGHT);
        private double level;
        private double smallReserve;
        private long refilledAt;

        Bucket(double level, long now) {
            this.level = level;
            this.refilledAt = now;
        }

        void refill(double rate, double capacity, double smallShare, long now) {
            double refilled = rate * Math.max(0, now - refilledAt) / 1_000;
            level = Math.min(capacity, level + refilled);
            double maxSmallReserve = rate * SMALL_REQUEST_SHARE * SMALL_RESERVE_MILLIS / 1_000;
            smallReserve = Math.min(maxSmallReserve, smallReserve + refilled * smallShare);
            refilledAt = now;
        }

        boolean isSmall(double cost) {
            return costs.isKnown() && cost < costs.value() * SMALL_COST_RATIO;
        }

        /** Takes a cost out of what is kept for small requests, and returns whether there was enough. */
        boolean takeFromSmallReserve(double cost) {
            boolean enough = smallReserve >= cost;
            smallReserve -= enough ? cost : 0;
            return enough;
        }
    }
}
