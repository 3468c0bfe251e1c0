package org.radishspur.decision.dispatch;

import java.util.Optional;

import org.radishspur.decision.dispatch.QuotaLedger.Tolerance;
import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Limits an organisation by a token bucket, which is refilled at the rate and holds at most the burst.
 *
 * <p>What several schedulers admit at the same moment can bring the bucket below zero; it must be refilled before
 * anything more is admitted, so that the excess doesn't grow with time.
 */
final class TokenBucketLimit implements UsageLimit {
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

    /**
     * A report of a peer after a longer gap than this is treated as at startup, in milliseconds; peers report several
     * times a second.
     */
    private static final long PEER_SILENCE_MILLIS = QuotaLedger.PEER_SILENCE_MILLIS;

    /**
     * Maximum debt that a report leaves at startup or after a gap, in milliseconds of the rate: half a report interval.
     */
    private static final long STARTUP_DEBT_MILLIS = 20;

    /**
     * Maximum debt for use that other schedulers have admitted, in milliseconds of the rate. Callers are asked to return
     * after it, and an entry is rarely without a scheduler for longer.
     */
    private static final long MAX_DEBT_ELSEWHERE_MILLIS = 2_000;

    private final Tolerance tolerance;
    private final RequestSizes sizes = new RequestSizes();
    private double ratePerSecond;
    private double capacity;
    private double level;
    private double smallReserve;
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param organisation the organisation with its limit.
     * @param tolerance by how much the limit may be exceeded.
     * @param now the current time in milliseconds.
     */
    TokenBucketLimit(OrganisationRule organisation, Tolerance tolerance, long now) {
        this.tolerance = tolerance;
        level = organisation.burst() + tolerance.burstAmount();
        refilledAt = now;
    }

    /** {@inheritDoc} */
    @Override
    public void refresh(OrganisationRule organisation, int schedulers, double reportingShare, long now) {
        ratePerSecond = organisation.ratePerSecond();
        capacity = organisation.burst() + tolerance.burstAmount();
        double toleratedRate = ratePerSecond * (1 + tolerance.rateShare());
        double refilled = toleratedRate * Math.max(0, now - refilledAt) / 1_000;
        level = Math.min(capacity, level + refilled);
        double maxSmallReserve = toleratedRate * SMALL_REQUEST_SHARE * SMALL_RESERVE_MILLIS / 1_000;
        smallReserve = Math.min(maxSmallReserve, smallReserve + refilled * (SMALL_REQUEST_SHARE / schedulers));
        refilledAt = now;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Long> tryCharge(double cost, long now) {
        boolean small = sizes.isSmall(cost);
        sizes.add(cost);
        if (level <= 0 && !(small && takeFromSmallReserve(cost))) {
            return Optional.of((long) Math.ceil((cost - level) / (ratePerSecond / 1_000)));
        }
        level -= cost;
        return Optional.empty();
    }

    /** Takes a cost from the reserve for small requests, and returns whether the reserve covered it. */
    private boolean takeFromSmallReserve(double cost) {
        boolean enough = smallReserve >= cost;
        smallReserve -= enough ? cost : 0;
        return enough;
    }

    /** {@inheritDoc} */
    @Override
    public void recordUseElsewhere(double cost, double room, boolean exhausted) {
        // An organisation that is within its limit may send most of its requests to one entry, so this leaves no debt.
        double maxDebt = exhausted ? ratePerSecond * MAX_DEBT_ELSEWHERE_MILLIS / 1_000 : 0;
        level = Math.max(Math.min(level, -maxDebt), Math.min(level - cost, room));
    }

    /** {@inheritDoc} */
    @Override
    public void recordStart(double cost, long now) {}

    /** {@inheritDoc} */
    @Override
    public void refundWaiting(double cost) {
        level += cost;
    }

    /** {@inheritDoc} */
    @Override
    public void refundStarted(double cost, long startedAt) {
        level += cost;
    }

    /** {@inheritDoc} */
    @Override
    public void recordPeerUse(Optional<PeerUse> previous, PeerUse latest, UseHistory history, boolean startingUp) {
        long unseenTotal = latest.total() - previous.map(PeerUse::total).orElse(0L);
        if (previous.isPresent() && latest.reportedAt() - previous.get().reportedAt() <= PEER_SILENCE_MILLIS) {
            level -= unseenTotal;
            return;
        }
        // A first report is the total since the peer started; at most one full bucket of it has not been refilled yet.
        double unseenUse = Math.min(unseenTotal, capacity);
        boolean mayBeOld = previous.isPresent() || startingUp;
        level -= mayBeOld ? Math.min(unseenUse, maxCatchUpCost()) : unseenUse;
    }

    /**
     * Returns the maximum that is charged for use that was probably refilled long ago.
     *
     * <p>A scheduler that has just started or was disconnected receives the total use of each peer in one step.
     * Charging all of it would leave a debt of seconds, and requests within the limit would be refused; the bucket is
     * only emptied instead.
     */
    private double maxCatchUpCost() {
        return Math.max(0, level + ratePerSecond * STARTUP_DEBT_MILLIS / 1_000);
    }

    /** {@inheritDoc} */
    @Override
    public double ownWaiting() {
        return 0;
    }
}
