package org.radishspur.decision.permit;

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
