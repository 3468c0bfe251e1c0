package org.radishspur.decision.permit;

import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;

/**
 * A request for a permit to dispatch one request to an upstream.
 *
 * @param id the identity of the attempt.
 * @param tier the urgency of the request.
 * @param organisation the organisation that sent it.
 * @param route the route that it was received on.
 * @param deadlineAt the time by the scheduler's clock after which the answer is of no use, in microseconds.
 * @param size the size of the request.
 * @param fingerprint the digest of the request's content, which identifies crash suspects.
 */
public record PermitRequest(
        PermitId id,
        Tier tier,
        String organisation,
        String route,
        long deadlineAt,
        RequestSize size,
        String fingerprint) {}
