package org.radishspur.decision.dispatch;

import java.util.Optional;

import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Counts the use of one organisation over all schedulers and decides whether its limit allows more.
 *
 * <p>A cost is charged when a request is admitted, and counts as waiting until the request starts or is refunded.
 */
interface UsageLimit {
    /**
     * Applies the organisation's current limit and the time that has passed; called before each decision and report.
     *
     * @param organisation the organisation with its limit.
     * @param schedulers the number of schedulers that admit its requests.
     * @param reportingShare the share of the schedulers whose use is known, this one included.
     * @param now the current time in milliseconds.
     */
    void refresh(OrganisationRule organisation, int schedulers, double reportingShare, long now);

    /**
     * Charges a cost if the limit allows it.
     *
     * @param cost the cost in the unit of the limit.
     * @param now the current time in milliseconds.
     * @return empty where the request is admitted, else after how many milliseconds the limit allows it.
     */
    Optional<Long> tryCharge(double cost, long now);

    /**
     * Records that a waiting request starts.
     *
     * @param cost the cost that was charged.
     * @param now the current time in milliseconds.
     */
    void recordStart(double cost, long now);

    /**
     * Refunds the cost of a waiting request.
     *
     * @param cost the cost that was charged.
     */
    void refundWaiting(double cost);

    /**
     * Refunds the cost of a request that was started but did not run.
     *
     * @param cost the cost that was charged.
     * @param startedAt when the request was started, in milliseconds.
     */
    void refundStarted(double cost, long startedAt);

    /**
     * Counts the use that a peer reports.
     *
     * @param previous the last report of the same run of the peer, or empty for its first one.
     * @param latest the new report.
     * @param history when the use of the new report was started, if the peer states it.
     * @param startingUp whether it is the first report of the peer and this scheduler has just started, so that the use
     *     may be from before its start.
     */
    void recordPeerUse(Optional<PeerUse> previous, PeerUse latest, UseHistory history, boolean startingUp);

    /**
     * Counts use that another scheduler has admitted for the same entry. Ignored where other schedulers report their use.
     *
     * @param cost the cost in the unit of the limit.
     * @param room the maximum that the entry may use at once afterwards.
     * @param exhausted whether other schedulers refuse the organisation at present because of its limit.
     */
    default void recordUseElsewhere(double cost, double room, boolean exhausted) {}

    /**
     * Counts what an entry has used before this scheduler started, whoever admitted it. Ignored where the limit isn't
     * measured over a window.
     *
     * @param history when the use was started.
     * @param now the current time in milliseconds.
     */
    default void recordUseBeforeStart(UseHistory history, long now) {}

    /**
     * Counts use that an entry has admitted without a scheduler as use of this scheduler.
     *
     * @param history when the use was started.
     * @param now the current time in milliseconds.
     * @return how much was counted; 0 where the limit isn't measured over a window.
     */
    default long recordEntryUse(UseHistory history, long now) {
        return 0;
    }

    /**
     * Returns when the requests that this scheduler has admitted were started.
     *
     * @param now the current time in milliseconds.
     * @return the history; {@link UseHistory#UNKNOWN} where the time doesn't matter to the limit.
     */
    default UseHistory ownHistory(long now) {
        return UseHistory.UNKNOWN;
    }

    /**
     * Returns the cost of the requests that this scheduler has admitted and that wait.
     *
     * @return the cost in the unit of the limit; 0 where the limit makes no difference between waiting and started ones.
     */
    double ownWaiting();

    /**
     * Returns what is counted at present, if anything was refused or exceeded the limit since the last call.
     *
     * @param organisation the name of the organisation.
     * @return the use; empty also where the limit isn't measured over a window.
     */
    default Optional<OrganisationUse> takeContendedUse(String organisation) {
        return Optional.empty();
    }

    /**
     * Holds a report of a peer.
     *
     * @param total the use that it has admitted since it started.
     * @param waiting the part of it whose requests wait.
     * @param reportedAt when the report was received, in milliseconds.
     */
    record PeerUse(long total, long waiting, long reportedAt) {}
}
