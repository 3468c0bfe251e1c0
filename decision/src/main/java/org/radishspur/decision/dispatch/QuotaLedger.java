package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishspur.decision.dispatch.UsageLimit.PeerUse;
import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Enforces the quotas of organisations over all schedulers together.
 *
 * <p>Each scheduler counts the requests that it admits itself and, a moment later, those that its peers report. How they
 * count depends on the tolerance: by a window where one is stated, else by a token bucket.
 */
public final class QuotaLedger {
    /** The time without a report after which a peer counts as silent, in milliseconds. */
    static final long PEER_SILENCE_MILLIS = 900;

    /**
     * How long after its own first event a scheduler treats the first report of a peer as use from before its start, in
     * milliseconds; connections to all peers are made well within it.
     */
    private static final long STARTUP_MILLIS = 2_000;

    /** How far ahead room is assigned to refused callers, in milliseconds; later room is for whoever asks then. */
    private static final long MAX_ASSIGNED_MILLIS = 10_000;

    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final Tolerance tolerance;
    private final QuotaCounts counts = new QuotaCounts();
    private QuotaListener listener = QuotaListener.NoOp.INSTANCE;
    private long startedAt = NOT_STARTED;
    private long observesFrom = NOT_STARTED;
    private double reportingShare = 1;
    private final Map<String, UsageLimit> limits = new HashMap<>();
    private final Map<String, Long> ownUse = new HashMap<>();
    private final Map<String, ReturnTimes> returns = new HashMap<>();
    private final Map<String, Map<String, PeerUse>> peerUse = new HashMap<>();

    /**
     * Creates a ledger that has seen no use.
     *
     * @param tolerance how the limits are measured, and by how much they may be exceeded.
     */
    public QuotaLedger(Tolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Sets what receives changes of limits and use that is learnt late; called before the first request.
     *
     * @param newListener the listener.
     */
    public void setListener(QuotaListener newListener) {
        listener = newListener;
    }

    /**
     * Sets from when on this scheduler would have received the reports of its peers; without it, that is its first event.
     * A limit over a window counts the time before as used, which would refuse requests that come long after the start.
     *
     * @param now the current time in milliseconds.
     */
    public void observeFrom(long now) {
        observesFrom = now;
    }

    /**
     * Sets how many of the schedulers report their use, so that limits over a window leave room for the others.
     *
     * @param reporting the number of schedulers that have reported lately, this one included.
     * @param all the number of all schedulers.
     */
    public void setReporting(int reporting, int all) {
        reportingShare = Math.min(1, (double) reporting / all);
    }

    /**
     * Charges the cost of a request to the limit of its organisation, if the limit allows it.
     *
     * @param organisation the organisation.
     * @param cost the cost in the unit of the limit.
     * @param now the current time in milliseconds.
     * @return empty where the request is admitted, else after how many milliseconds the limit allows it.
     */
    public Optional<Long> tryCharge(OrganisationRule organisation, double cost, long now) {
        if (organisation.ratePerSecond() <= 0) {
            return Optional.empty();
        }
        recordStart(now);
        Optional<Long> wait = limitOf(organisation, now).tryCharge(cost, now);
        if (wait.isEmpty()) {
            ownUse.merge(organisation.name(), (long) cost, Long::sum);
            return Optional.empty();
        }
        double roomMillis = cost * 1_000 / organisation.ratePerSecond();
        return Optional.of(returns.computeIfAbsent(organisation.name(), name -> new ReturnTimes())
                .assign(wait.get(), roomMillis, MAX_ASSIGNED_MILLIS, now));
    }

    /**
     * Counts use that another scheduler has admitted for the entry of this ledger, whose share of a quota it is part of.
     *
     * @param organisation the organisation with the entry's share of its limit.
     * @param cost the cost in the unit of the limit.
     * @param room what the entry has not used of its share in the window.
     * @param exhausted whether other schedulers refuse the organisation at present because of its limit.
     * @param now the current time in milliseconds.
     */
    void recordUseElsewhere(OrganisationRule organisation, double cost, double room, boolean exhausted, long now) {
        if (organisation.ratePerSecond() > 0) {
            limitOf(organisation, now).recordUseElsewhere(cost, room, exhausted);
        }
    }

    /**
     * Counts use that an entry has admitted without a scheduler, so that this scheduler and its peers leave room for it.
     *
     * @param organisation the organisation.
     * @param history when the entry has started the requests.
     * @param now the current time in milliseconds.
     */
    public void recordEntryUse(OrganisationRule organisation, UseHistory history, long now) {
        if (organisation.ratePerSecond() > 0) {
            long counted = limitOf(organisation, now).recordEntryUse(history, now);
            ownUse.merge(organisation.name(), counted, Long::sum);
        }
    }

    /**
     * Counts what an entry has used before this scheduler started. Each entry states it once.
     *
     * @param organisation the organisation.
     * @param history when the entry has started the requests.
     * @param now the current time in milliseconds.
     */
    public void recordUseBeforeStart(OrganisationRule organisation, UseHistory history, long now) {
        if (organisation.ratePerSecond() > 0) {
            limitOf(organisation, now).recordUseBeforeStart(history, now);
        }
    }

    /**
     * Records that a request whose cost was charged has received a slot.
     *
     * @param organisation the organisation.
     * @param cost the cost that was charged.
     * @param now the current time in milliseconds.
     */
    public void recordGrant(OrganisationRule organisation, double cost, long now) {
        chargedLimit(organisation).ifPresent(limit -> limit.recordStart(cost, now));
    }

    /**
     * Refunds the cost of a request that did not receive a slot.
     *
     * @param organisation the organisation.
     * @param cost the cost that was charged.
     */
    public void refund(OrganisationRule organisation, double cost) {
        chargedLimit(organisation).ifPresent(limit -> {
            limit.refundWaiting(cost);
            ownUse.merge(organisation.name(), -(long) cost, Long::sum);
        });
    }

    /**
     * Refunds the cost of a request that received a slot but did not run.
     *
     * @param organisation the organisation.
     * @param cost the cost that was charged.
     * @param grantedAt when it received the slot, in milliseconds.
     */
    public void refundGranted(OrganisationRule organisation, double cost, long grantedAt) {
        chargedLimit(organisation).ifPresent(limit -> {
            limit.refundStarted(cost, grantedAt);
            ownUse.merge(organisation.name(), -(long) cost, Long::sum);
        });
    }

    /** Returns the limit to which the cost of a request was charged, given the rule by which it was admitted. */
    private Optional<UsageLimit> chargedLimit(OrganisationRule organisation) {
        return organisation.ratePerSecond() > 0
                ? Optional.ofNullable(limits.get(organisation.name()))
                : Optional.empty();
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
     * Returns the part of the own use whose requests wait for a slot.
     *
     * @return the use by organisation, in the unit of its limit; organisations without such use are left out.
     */
    public Map<String, Long> ownWaitingUse() {
        Map<String, Long> waiting = new HashMap<>();
        limits.forEach((name, limit) -> {
            long cost = (long) limit.ownWaiting();
            if (cost > 0) {
                waiting.put(name, cost);
            }
        });
        return waiting;
    }

    /**
     * Returns when this scheduler has started its requests, for peers that have missed reports.
     *
     * @param now the current time in milliseconds.
     * @return the history by organisation; those whose limits aren't measured over a window are left out.
     */
    public Map<String, UseHistory> ownHistory(long now) {
        Map<String, UseHistory> histories = new HashMap<>();
        limits.forEach((name, limit) -> {
            UseHistory history = limit.ownHistory(now);
            if (history.isKnown()) {
                histories.put(name, history);
            }
        });
        return histories;
    }

    /**
     * Returns the metrics of refusals and excess.
     *
     * @return the counts, which are updated as the ledger decides.
     */
    public QuotaCounts counts() {
        return counts;
    }

    /**
     * Returns what is counted for the organisations of which requests were refused, or exceeded the limit, since the last
     * call.
     *
     * @return the use; organisations whose limits aren't measured over a window are left out.
     */
    public List<OrganisationUse> takeContendedUse() {
        return limits.entrySet().stream()
                .flatMap(limit -> limit.getValue().takeContendedUse(limit.getKey()).stream())
                .toList();
    }

    /**
     * Records the use that a peer has admitted since it started, none of which waits.
     *
     * @param peer the run of the peer.
     * @param organisation the organisation.
     * @param total the total use that the peer reports, in the unit of the limit.
     * @param now the current time in milliseconds.
     */
    public void recordPeerUse(String peer, OrganisationRule organisation, long total, long now) {
        recordPeerUse(peer, organisation, total, 0, now);
    }

    /**
     * Records the use that a peer has admitted since it started.
     *
     * @param peer the run of the peer.
     * @param organisation the organisation.
     * @param total the total use that the peer reports, in the unit of the limit.
     * @param waiting the part of it whose requests wait for a slot.
     * @param now the current time in milliseconds.
     */
    public void recordPeerUse(String peer, OrganisationRule organisation, long total, long waiting, long now) {
        recordPeerUse(peer, organisation, total, waiting, UseHistory.UNKNOWN, now);
    }

    /**
     * Records the use that a peer has admitted since it started, and when.
     *
     * @param peer the run of the peer.
     * @param organisation the organisation.
     * @param total the total use that the peer reports, in the unit of the limit.
     * @param waiting the part of it whose requests wait for a slot.
     * @param history when the peer has started its requests, if it states that.
     * @param now the current time in milliseconds.
     */
    public void recordPeerUse(
            String peer, OrganisationRule organisation, long total, long waiting, UseHistory history, long now) {
        Map<String, PeerUse> peerUses = peerUse.computeIfAbsent(peer, key -> new HashMap<>());
        PeerUse latest = new PeerUse(total, waiting, now);
        PeerUse previous = peerUses.put(organisation.name(), latest);
        if (organisation.ratePerSecond() > 0) {
            if (previous != null && now - previous.reportedAt() > PEER_SILENCE_MILLIS && total > previous.total()) {
                listener.onUseAfterSilence(
                        peer, organisation.name(), now - previous.reportedAt(), total - previous.total());
            }
            boolean startingUp = previous == null && isStartingUp(now);
            limitOf(organisation, now).recordPeerUse(Optional.ofNullable(previous), latest, history, startingUp);
        }
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

    private UsageLimit limitOf(OrganisationRule organisation, long now) {
        UsageLimit limit = limits.computeIfAbsent(organisation.name(), key -> createLimit(organisation, now));
        limit.refresh(organisation, countSchedulers(organisation, now), reportingShare, now);
        return limit;
    }

    private UsageLimit createLimit(OrganisationRule organisation, long now) {
        if (tolerance.windowMillis() > 0) {
            recordStart(now);
            long since = observesFrom == NOT_STARTED ? startedAt : observesFrom;
            return new WindowLimit(organisation, tolerance, counts, listener, since, now);
        }
        return new TokenBucketLimit(organisation, tolerance, now);
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

    /**
     * Defines how limits are measured and by how much a limit may be exceeded, so that requests within it are never
     * refused because schedulers have different views.
     *
     * @param rateShare the share by which the rate may be exceeded.
     * @param burstAmount the amount by which the burst may be exceeded, in the unit of the limit.
     * @param windowMillis the window in which an organisation may use its rate and its burst, in milliseconds; 0 where
     *     the rate has to be used as it comes and only the burst can be saved up.
     */
    public record Tolerance(double rateShare, double burstAmount, long windowMillis) {
        /** Allows no excess, and measures over no window. */
        public static final Tolerance NONE = new Tolerance(0, 0, 0);
    }
}
