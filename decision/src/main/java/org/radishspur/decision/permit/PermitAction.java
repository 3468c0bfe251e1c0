package org.radishspur.decision.permit;

import java.util.List;

import org.radishspur.model.error.Refusal;
import org.radishspur.model.request.PermitId;

/**
 * A decision of a {@link PoolScheduler} that its caller has to carry out.
 */
public sealed interface PermitAction {

    /**
     * Permits the dispatch of a request to one upstream.
     *
     * @param id the attempt.
     * @param upstream the name of the upstream.
     */
    record Grant(PermitId id, String upstream) implements PermitAction {}

    /**
     * Refuses a request that has not been dispatched.
     *
     * @param id the attempt.
     * @param refusal the reason, and when to retry.
     */
    record Refuse(PermitId id, Refusal refusal) implements PermitAction {}

    /**
     * Explains the refusal of a request that can't meet its deadline; the refusal is an action of its own.
     *
     * @param id the attempt.
     * @param estimate the estimate and its inputs.
     */
    record DeadlineUnreachable(PermitId id, DeadlineEstimate estimate) implements PermitAction {}

    /**
     * Reports that requests wait although none has been granted for a while.
     *
     * @param stalledMicros the time since the last grant, or since the queue was last empty, in microseconds.
     * @param waiting the number of requests in the queue.
     * @param upstreams what is assumed about the upstreams of the pool.
     */
    record QueueStalled(long stalledMicros, int waiting, List<UpstreamSnapshot> upstreams) implements PermitAction {}

    /**
     * Reports that a request was in flight when an upstream crashed.
     *
     * @param fingerprint the digest of the request's content.
     * @param crashId the identifier of the crash, the same for all requests that were in flight at it.
     */
    record CrashSuspected(String fingerprint, String crashId) implements PermitAction {}

    /**
     * Reports that a crash suspect was answered to the end, so that it is no suspect any more.
     *
     * @param fingerprint the digest of the request's content.
     */
    record SuspectCleared(String fingerprint) implements PermitAction {}

    /**
     * Reports that an upstream is ejected: it gets no requests for a while.
     *
     * @param upstream the name of the upstream.
     * @param cause why it was ejected.
     */
    record Ejected(String upstream, EjectionCause cause) implements PermitAction {}

    /**
     * The reason why an upstream is ejected.
     */
    enum EjectionCause {
        /** No connection to it could be made, several times in a row. */
        UNREACHABLE,
        /** It failed several times in a row. */
        FAILING,
        /** It is much slower than other upstreams of the same hardware and version. */
        SLOW
    }
}
