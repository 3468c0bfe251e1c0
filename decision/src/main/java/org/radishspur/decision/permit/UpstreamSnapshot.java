package org.radishspur.decision.permit;

import org.radishspur.decision.upstream.UpstreamState;

/**
 * What the scheduler of a pool assumed about one upstream when it made a decision. Times are in microseconds.
 *
 * @param name the name of the upstream.
 * @param usable whether it may get new requests, its limit not considered.
 * @param limit the number of requests that it may run at once.
 * @param inFlight the number of requests that this scheduler has in flight at it.
 * @param otherLoad the number of further requests that it was last inferred to run.
 * @param reportAgeMicros the time since its last load report.
 * @param outputMicros the estimated time for each output token.
 * @param prefillMicros the estimated time for each prompt token.
 * @param measuredAgeMicros the time since its last answer.
 */
public record UpstreamSnapshot(
        String name,
        boolean usable,
        int limit,
        int inFlight,
        int otherLoad,
        long reportAgeMicros,
        double outputMicros,
        double prefillMicros,
        long measuredAgeMicros) {

    static UpstreamSnapshot of(UpstreamState state, long now) {
        return new UpstreamSnapshot(
                state.name(),
                state.isUsable(now),
                state.limit(),
                state.inFlight().size(),
                state.externalLoad(),
                state.reportAgeMicros(now),
                state.speed().outputMicros(),
                state.speed().prefillMicros(),
                state.measuredAgeMicros(now));
    }
}
