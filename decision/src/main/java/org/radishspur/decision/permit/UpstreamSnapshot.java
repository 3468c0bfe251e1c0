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
 * @param reportAgeMicros the time since its last load report, or {@link #NEVER}.
 * @param outputMicros the estimated time for each output token.
 * @param prefillMicros the estimated time for each prompt token.
 * @param measuredAgeMicros the time since its last answer, or {@link #NEVER}.
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
    /** The age of what has never been received. */
    public static final long NEVER = -1;

    static UpstreamSnapshot of(UpstreamState state, long now) {
        return new UpstreamSnapshot(
                state.name(),
                state.isUsable(now),
                state.limit(),
                state.inFlight().size(),
                state.externalLoad(),
                state.isReported() ? state.reportAgeMicros(now) : NEVER,
                state.speed().outputMicros(),
                state.speed().prefillMicros(),
                state.isAnswered() ? state.measuredAgeMicros(now) : NEVER);
    }
}
