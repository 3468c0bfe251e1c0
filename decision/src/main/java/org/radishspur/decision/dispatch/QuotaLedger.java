package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Enforces the quotas of organisations over all schedulers together.
 *
 * <p>Each scheduler has the same token bucket for an organisation. It charges to it the requests that it admits itself
 * and, a moment later, those that its peers report. What several schedulers admit at the same moment can bring the
 * bucket below zero; it must be refilled before anything more is admitted, so that the excess doesn't grow with time.
 */
public final class QuotaLedger {
    /**
     * How long after its own first event a scheduler treats the first report of a peer as use from before its start, in
     * milliseconds; connections to all peers are made well within it.
     */
    private static final long STARTUP_MILLIS = 2_000;

    /**
     * Share of a bucket that late requests leave to those that can still be on time. Without it, during a shortage,
     * retries of refused callers would take what new requests need, and these would be refused and be late in turn.
     */
    private static final double ON_TIME_RESERVE_SHARE = 0.25;

    /**
     * Share of a limit that all schedulers together reserve for small requests. Without it, the short calls of an
     * organisation would be refused when its own long prompts have used up the limit, though all short calls together
     * need a small share of it.
     */
    private static final double SMALL_REQUEST_SHARE = 0.2;

    /**
     * Maximum reserve for small requests at one scheduler, in milliseconds of the reserved rate; each scheduler can
     * exceed the limit by so much once.
     */
    private static final long SMALL_RESERVE_MILLIS = 50;

    /** A request counts as small below this ratio of its cost to the organisation's average cost. */
    private static final double SMALL_COST_RATIO = 0.25;

    /** Weight of the newest cost in the average; about a hundred requests outweigh the older ones. */
    private static final double COST_AVERAGE_WEIGHT = 0.01;

    /**
     * A report of a peer after a longer gap than this is treated as at startup, in milliseconds; peers report several
     * times a second.
     */
    private static final long PEER_SILENCE_MILLIS = 900;

    /**
     * Maximum debt that a report leaves at startup or after a gap, in milliseconds of the rate: half a report interval.
     */
    private static final long STARTUP_DEBT_MILLIS = 20;

    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final Tolerance tolerance;
    private long startedAt = NOT_STARTED;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Long> ownUse = new HashMap<>();
    private final Map<String, Map<String, PeerUse>> peerUse = new HashMap<>();

    /**
     * Creates a ledger in which nothing is used.
     *
     * @param tolerance by how much the limits may be exceeded.
     */
    public QuotaLedger(Tolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Charges the cost of a request to the limit of its organisation, if the limit allows it.
     *
     * @param organisation the organisation.
     * @param cost the cost in the unit of the limit.
     * @param late whether the request arrived too late to be answered on time, such as a retry after a refusal.
     * @param now the current time in milliseconds.
     * @return empty where the request is admitted, else after how many milliseconds the limit allows it.
     */
    public Optional<Long> tryCharge(OrganisationRule organisation, double cost, boolean late, long now) {
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
        ownUse.merge(organisation.name(), (long) cost, Long::sum);
        return Optional.empty();
    }

    /**
     * Refunds the cost of a request that did not run.
     *
     * @param organisation the organisation.
     * @param cost the cost that was charged.
     */
    public void refund(OrganisationRule organisation, double cost) {
        Bucket bucket = buckets.get(organisation.name());
        if (bucket != null && organisation.ratePerSecond() > 0) {
            bucket.level += cost;
            ownUse.merge(organisation.name(), -(long) cost, Long::sum);
        }
    }

    /**
     * Returns the use that this scheduler has admitted since it started.
     *
     * @return the use by organisation, in the unit of its limit.
     */
    public Map<String, Long> ownUse() {
        return ownUse;
    }

    /**
     * Records the use that a peer has admitted since it started.
     *
     * @param peer the run of the peer.
     * @param organisation the organisation.
     * @param total the total use that the peer reports, in the unit of the limit.
     * @param now the current time in milliseconds.
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
        // A first report is the total since the peer started; at most one full bucket of it has not been refilled yet.
        double unseenUse = Math.min(total - (previous == null ? 0 : previous.total()), capacity(organisation));
        boolean mayBeOld = previous != null || isStartingUp(now);
        bucket.level -= mayBeOld ? Math.min(unseenUse, maxCatchUpCost(organisation, bucket)) : unseenUse;
    }

    /**
     * Returns the maximum that is charged for use that was probably refilled long ago.
     *
     * <p>A scheduler that has just started or was disconnected receives the total use of each peer in one step.
     * Charging all of it would leave a debt of seconds, and requests within the limit would be refused; the bucket is
     * only emptied instead.
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
        double rate = organisation.ratePerSecond() * (1 + tolerance.rateShare());
        double capacity = capacity(organisation);
        Bucket bucket = buckets.get(organisation.name());
        if (bucket == null) {
            bucket = new Bucket(capacity, now);
            buckets.put(organisation.name(), bucket);
        }
        bucket.refill(rate, capacity, SMALL_REQUEST_SHARE / countSchedulers(organisation, now), now);
        return bucket;
    }

    /** Counts the schedulers that admit requests of an organisation: this one, and the peers that report use of it. */
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
        return organisation.burst() + tolerance.burstAmount();
    }

    /**
     * Defines by how much a limit may be exceeded, so that requests within it are never refused because schedulers have
     * different views.
     *
     * @param rateShare the share by which the rate may be exceeded.
     * @param burstAmount the amount by which the burst may be exceeded, in the unit of the limit.
     */
    public record Tolerance(double rateShare, double burstAmount) {
        /** Allows no excess. */
        public static final Tolerance NONE = new Tolerance(0, 0);
    }

    /**
     * Holds the last report of a peer.
     *
     * @param total the use that it has admitted since it started.
     * @param reportedAt when the report was received, in milliseconds.
     */
    private record PeerUse(long total, long reportedAt) {}

    /** Holds the token bucket of one organisation. */
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

        /** Takes a cost from the reserve for small requests, and returns whether the reserve covered it. */
        boolean takeFromSmallReserve(double cost) {
            boolean enough = smallReserve >= cost;
            smallReserve -= enough ? cost : 0;
            return enough;
        }
    }
}
