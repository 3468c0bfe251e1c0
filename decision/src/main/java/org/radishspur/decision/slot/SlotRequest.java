package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.List;

import org.radishspur.decision.dispatch.QueuedRequest;
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.dispatch.VersionRule;

/**
 * A request of an entry for a slot at an upstream of a pool. Times are relative to the moment of sending, since the
 * clocks of hosts differ.
 *
 * @param pool the name of the pool.
 * @param failureDomain the failure domain of the entry; upstreams there are preferred.
 * @param organisation the organisation whose quota is charged, or empty if there is none.
 * @param quotaCost the cost that is charged to the quota, in the unit of the quota; 0 if it was charged already.
 * @param organisationRank the rank of the organisation; 0 is the most urgent.
 * @param unread keeps the position of what earlier builds send here; it isn't read.
 * @param allowTrialVersion whether a version that a rollout is still trying may serve the request.
 * @param maxWaitMillis for how long the caller waits for the first byte, in milliseconds.
 * @param firstByteTargetMillis the time left until the target for the first byte, in milliseconds; 0 if it has
 *     passed, or if there is none.
 * @param deadlineMillis the time left until the deadline of the complete answer, in milliseconds.
 * @param expectedLoad the expected load on the upstream.
 * @param avoidedRuns the runs of upstreams that are used only if no other upstream can serve the request; see
 *     {@link org.radishspur.model.catalogue.Upstream#runId()}.
 * @param rests the upstreams that must not get a request of this entry for some time.
 * @param terms what the route and the organisation state about how the request has to be served.
 */
public record SlotRequest(
        String pool,
        String failureDomain,
        String organisation,
        double quotaCost,
        int organisationRank,
        boolean unread,
        boolean allowTrialVersion,
        long maxWaitMillis,
        long firstByteTargetMillis,
        long deadlineMillis,
        ExpectedLoad expectedLoad,
        List<String> avoidedRuns,
        List<UpstreamRest> rests,
        RequestTerms terms) {

    /** Copies the lists, and replaces what an older build doesn't send. */
    public SlotRequest {
        avoidedRuns = List.copyOf(avoidedRuns);
        rests = rests == null ? List.of() : List.copyOf(rests);
        terms = terms == null ? RequestTerms.NONE : terms;
    }

    /**
     * Returns this request with other terms.
     *
     * @param stated what the route and the organisation state about how the request has to be served.
     * @return the changed request.
     */
    public SlotRequest withTerms(RequestTerms stated) {
        return copy(allowTrialVersion, 0, avoidedRuns, rests, stated);
    }

    /**
     * Returns this request with other rests.
     *
     * @param current the upstreams that must get no request of this entry now.
     * @return the changed request.
     */
    public SlotRequest withRests(List<UpstreamRest> current) {
        return current.equals(rests) ? this : copy(allowTrialVersion, 0, avoidedRuns, current, terms);
    }

    /**
     * Returns this request with its remaining times reduced by the time elapsed.
     *
     * @param millis the time elapsed since the request was created, in milliseconds.
     * @return the request; none of its remaining times is negative.
     */
    public SlotRequest withElapsed(long millis) {
        return copy(allowTrialVersion, millis, avoidedRuns, rests, terms);
    }

    /**
     * Returns this request with one more upstream to avoid and without trial versions.
     *
     * @param run the run of the upstream that can't serve the request.
     * @return the changed request.
     */
    public SlotRequest avoidingUpstream(String run) {
        List<String> longer = new ArrayList<>(avoidedRuns);
        longer.add(run);
        return copy(false, 0, longer, rests, terms);
    }

    private SlotRequest copy(
            boolean trialAllowed,
            long elapsedMillis,
            List<String> newAvoidedRuns,
            List<UpstreamRest> newRests,
            RequestTerms newTerms) {
        return new SlotRequest(
                pool,
                failureDomain,
                organisation,
                quotaCost,
                organisationRank,
                unread,
                trialAllowed,
                Math.max(0, maxWaitMillis - elapsedMillis),
                Math.max(0, firstByteTargetMillis - elapsedMillis),
                Math.max(0, deadlineMillis - elapsedMillis),
                expectedLoad,
                newAvoidedRuns,
                newRests,
                newTerms);
    }

    QueuedRequest toQueuedRequest(VersionRule versions, long now) {
        QueuedRequest queued = new QueuedRequest(
                "",
                organisationRank,
                now,
                now + maxWaitMillis,
                versions,
                expectedLoad.toRequirements(now + firstByteTargetMillis, now + deadlineMillis));
        avoidedRuns.forEach(queued::avoidUpstream);
        rests.forEach(rest -> queued.excludeUntil(rest.upstream(), now + rest.millis()));
        queued.setEntryDomain(failureDomain);
        queued.setTerms(terms);
        return queued;
    }

    /**
     * Describes the expected load of a request on an upstream.
     *
     * @param promptTokens the number of prompt tokens; 0 for a plain call.
     * @param expectedTokens the number of output tokens that the caller expects; 0 if unknown and for a plain call.
     * @param maxOutputTokens the maximum number of output tokens; 0 if the caller sets none.
     * @param tier the tier of the route; 0 is the most urgent.
     * @param prefixId identifies the prompt prefix that other requests share, or empty if there is none.
     * @param prefixTokens the number of tokens in that prefix.
     */
    public record ExpectedLoad(
            long promptTokens,
            long expectedTokens,
            long maxOutputTokens,
            int tier,
            String prefixId,
            long prefixTokens) {
        QueuedRequest.Requirements toRequirements(long targetAt, long endsAt) {
            return new QueuedRequest.Requirements(
                    promptTokens,
                    expectedTokens,
                    maxOutputTokens,
                    tier,
                    targetAt,
                    endsAt,
                    new QueuedRequest.Prefix(prefixId, prefixTokens));
        }
    }
}
