package org.radishspur.decision.dispatch;

import java.util.List;
import java.util.Optional;

import org.radishspur.decision.dispatch.QuotaLedger.Tolerance;
import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Limits what an organisation uses in any window of time to its rate over the window plus its burst. In contrast to a
 * token bucket, rate that was left unused can be used as long as the window reaches back to it.
 *
 * <p>A waiting request counts as use of the present until it starts, because upstreams receive it no sooner; otherwise
 * its cost could expire while it still counts at the upstreams.
 */
final class WindowLimit implements UsageLimit {
    /**
     * Share of the tolerated excess that is left to small requests. Without it, short calls would be refused until the
     * long prompts that have used up the limit leave the window.
     */
    private static final double SMALL_REQUEST_SHARE = 0.5;

    /**
     * Share of the burst that counts as just used when a scheduler starts, as long as entries state no more. It keeps the
     * use in one window bounded when all schedulers restart during a burst, and leaves room for callers who have waited
     * for the restart.
     */
    private static final double STARTUP_BURST_SHARE = 0.5;

    /** The number of slices in which a scheduler states to others when it has started its requests. */
    private static final int HISTORY_SLICES = 80;

    /** What rounding can leave of use that has expired, in the unit of the limit. */
    private static final double ROUNDING = 0.001;

    private final Tolerance tolerance;
    private final QuotaCounts counts;
    private final QuotaListener listener;
    private final LimitedUsageWindow window;

    /** What this scheduler has started itself, by which others that missed reports can tell when that was. */
    private final UsageWindow ownStarted;

    /** What counts as used before this scheduler started, because all schedulers may have restarted at once. */
    private final LimitedUsageWindow assumedBeforeStart;

    /** What entries have used before this scheduler started; it replaces the assumption where it is more. */
    private final LimitedUsageWindow statedBeforeStart;

    /** What schedulers that have fallen silent may have admitted since, if each admits no more than its share. */
    private final LimitedUsageWindow assumed;

    private final long schedulerStartedAt;
    private final long observedFrom;
    private final RequestSizes sizes = new RequestSizes();
    private double ownWaiting;
    private double toleratedExcess;
    private double reportingShare = 1;
    private boolean contended;

    /**
     * Creates a limit in which the time before this scheduler started counts as used at the rate of the limit and with
     * a part of the burst, because all schedulers may have restarted at once.
     *
     * @param organisation the organisation with its limit.
     * @param tolerance the length of the window, and by how much the limit may be exceeded.
     * @param counts counts what is refused and what exceeds the limit.
     * @param listener receives changes of the limit.
     * @param startedAt when this scheduler started, in milliseconds.
     * @param now the current time in milliseconds.
     */
    WindowLimit(
            OrganisationRule organisation,
            Tolerance tolerance,
            QuotaCounts counts,
            QuotaListener listener,
            long startedAt,
            long now) {
        this.tolerance = tolerance;
        this.counts = counts;
        this.listener = listener;
        schedulerStartedAt = startedAt;
        observedFrom = startedAt + tolerance.windowMillis();
        double limit = limitOf(organisation);
        window = new LimitedUsageWindow(tolerance.windowMillis(), limit, now);
        assumed = new LimitedUsageWindow(tolerance.windowMillis(), limit, now);
        ownStarted = new UsageWindow(tolerance.windowMillis(), HISTORY_SLICES, now);
        statedBeforeStart = new LimitedUsageWindow(tolerance.windowMillis(), limit, now);
        assumedBeforeStart = new LimitedUsageWindow(tolerance.windowMillis(), limit, now);
        assumedBeforeStart.addEvenly(rateOverWindow(organisation), startedAt - tolerance.windowMillis(), startedAt);
        assumedBeforeStart.add(organisation.burst() * STARTUP_BURST_SHARE, startedAt);
    }

    /** {@inheritDoc} */
    @Override
    public void refresh(OrganisationRule organisation, int schedulers, double newReportingShare, long now) {
        windows().forEach(each -> each.advance(now));
        setReportingShare(newReportingShare, now);
        double newLimit = limitOf(organisation);
        if (newLimit != window.limit()) {
            listener.onLimitChanged(organisation.name(), window.limit(), newLimit);
            windows().forEach(each -> each.setLimit(newLimit, now));
        }
        toleratedExcess = rateOverWindow(organisation) * tolerance.rateShare() + tolerance.burstAmount();
    }

    /**
     * Sets the share of the schedulers whose use is known. The others may be cut off rather than have ended, and admit
     * requests as well. Each group that sees only its own members therefore counts its use as if the schedulers outside
     * used as much for each of theirs; then all groups together stay within the limit.
     */
    private void setReportingShare(double share, long now) {
        if (share >= 1 && reportingShare < 1) {
            // All report again, so that their use since is known.
            assumed.clear();
        } else if (share < 1 && reportingShare >= 1) {
            long silentSince = now - QuotaLedger.PEER_SILENCE_MILLIS;
            assumed.addEvenly(assumedFor(window.totalSince(silentSince), share), silentSince, now);
        }
        reportingShare = Math.min(1, share);
    }

    private static double assumedFor(double use, double share) {
        return use * (1 / Math.min(1, share) - 1);
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Long> tryCharge(double cost, long now) {
        boolean small = sizes.isSmall(cost);
        sizes.add(cost);
        // A request that costs more than the limit is admitted when nothing else is in use, or it would never run.
        double counted = Math.min(cost / reportingShare, window.limit());
        double excess = use() + counted - window.limit();
        double missing = excess - maxExcess(small, now);
        contended |= excess > 0;
        if (missing > ROUNDING) {
            counts.recordRefusal(excess <= 0);
            return Optional.of(LimitedUsageWindow.millisUntilExpired(List.of(window, beforeStart()), missing, now));
        }
        counts.recordExcess(Math.min(cost, excess));
        ownWaiting += cost;
        return Optional.empty();
    }

    /** Returns by how much a request may exceed the limit. */
    private double maxExcess(boolean small, long now) {
        double smallExcess = toleratedExcess * SMALL_REQUEST_SHARE;
        // Before a whole window has been observed, more than the assumed use may be in it.
        double usualExcess = now < observedFrom ? 0 : toleratedExcess - smallExcess;
        return small ? usualExcess + smallExcess : usualExcess;
    }

    private double use() {
        return window.total() + beforeStart().total() + assumed.total() + ownWaiting / reportingShare;
    }

    private LimitedUsageWindow beforeStart() {
        return statedBeforeStart.total() > assumedBeforeStart.total() ? statedBeforeStart : assumedBeforeStart;
    }

    private List<LimitedUsageWindow> windows() {
        return List.of(window, assumedBeforeStart, statedBeforeStart, assumed);
    }

    /** {@inheritDoc} */
    @Override
    public void recordStart(double cost, long now) {
        ownWaiting -= cost;
        window.advance(now);
        window.add(cost, now);
        ownStarted.advance(now);
        ownStarted.add(cost, now);
        assumed.advance(now);
        assumed.add(assumedFor(cost, reportingShare), now);
    }

    /** {@inheritDoc} */
    @Override
    public void refundWaiting(double cost) {
        ownWaiting -= cost;
    }

    /** {@inheritDoc} */
    @Override
    public void refundStarted(double cost, long startedAt) {
        window.remove(cost, startedAt);
        ownStarted.remove(cost, startedAt);
        assumed.remove(assumedFor(cost, reportingShare), startedAt);
    }

    /** {@inheritDoc} */
    @Override
    public long recordEntryUse(UseHistory history, long now) {
        ownStarted.advance(now);
        // The time before this scheduler's start counts as used already.
        UseHistory sinceStart = history.newest(now - schedulerStartedAt);
        sinceStart.divide(sinceStart.total(), (part, ageMillis) -> {
            addStarted(part, now - ageMillis);
            ownStarted.add(part, now - ageMillis);
        });
        return sinceStart.total();
    }

    /** {@inheritDoc} */
    @Override
    public void recordUseBeforeStart(UseHistory history, long now) {
        history.divide(history.total(), (part, ageMillis) -> {
            if (now - ageMillis < schedulerStartedAt) {
                statedBeforeStart.add(part, now - ageMillis);
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public UseHistory ownHistory(long now) {
        ownStarted.advance(now);
        return ownStarted.history(now);
    }

    /** {@inheritDoc} */
    @Override
    public void recordPeerUse(Optional<PeerUse> previous, PeerUse latest, UseHistory history, boolean startingUp) {
        if (previous.isPresent()) {
            addPeerUse(previous.get(), latest, history);
        } else if (history.isKnown() && latest.reportedAt() >= observedFrom) {
            addPeerUse(new PeerUse(0, 0, latest.reportedAt()), latest, history);
        } else {
            // How much of the total since the peer's start is in the window is unknown; it can at most fill the limit.
            double unseen = Math.min(latest.total(), window.limit() - use());
            window.add(Math.max(unseen, latest.waiting()), latest.reportedAt());
        }
    }

    /** Adds what a peer has started since its last report, and counts what still waits as of now. */
    private void addPeerUse(PeerUse previous, PeerUse latest, UseHistory history) {
        window.remove(previous.waiting(), previous.reportedAt());
        window.add(latest.waiting(), latest.reportedAt());
        long started = latest.total() - latest.waiting() - (previous.total() - previous.waiting());
        if (started <= 0) {
            window.remove(-started, latest.reportedAt());
        } else if (history.isKnown()) {
            // After a silence, most of it may have been started at its end.
            history.divide(started, (part, ageMillis) -> addStarted(part, latest.reportedAt() - ageMillis));
        } else {
            window.addEvenly(started, previous.reportedAt(), latest.reportedAt());
            assumed.addEvenly(assumedFor(started, reportingShare), previous.reportedAt(), latest.reportedAt());
        }
    }

    private void addStarted(double amount, long at) {
        window.add(amount, at);
        assumed.add(assumedFor(amount, reportingShare), at);
    }

    /** {@inheritDoc} */
    @Override
    public double ownWaiting() {
        return ownWaiting;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<OrganisationUse> takeContendedUse(String organisation) {
        if (!contended) {
            return Optional.empty();
        }
        contended = false;
        return Optional.of(new OrganisationUse(
                organisation,
                window.limit(),
                window.total() + beforeStart().total(),
                assumed.total(),
                ownWaiting,
                reportingShare));
    }

    private double limitOf(OrganisationRule organisation) {
        return rateOverWindow(organisation) + organisation.burst();
    }

    private double rateOverWindow(OrganisationRule organisation) {
        return organisation.ratePerSecond() * tolerance.windowMillis() / 1_000;
    }
}
