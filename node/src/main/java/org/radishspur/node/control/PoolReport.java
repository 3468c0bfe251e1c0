package org.radishspur.node.control;

import java.util.List;
import java.util.Optional;

import org.radishspur.decision.permit.PoolScheduler;
import org.radishspur.decision.upstream.UpstreamState;

/**
 * Describes the state of a pool's queue for operators.
 *
 * @param owner the name of the node that owns the queue, as this node sees it.
 * @param waiting the number of queued requests, or -1 where another node owns the queue.
 * @param permitsInUse the number of permits in use, or -1 where another node owns the queue.
 * @param upstreams the state of the pool's upstreams; empty where another node owns the queue.
 */
public record PoolReport(String owner, int waiting, int permitsInUse, List<UpstreamReport> upstreams) {

    static PoolReport of(String owner, Optional<PoolScheduler> scheduler, ControlLoop loop) {
        if (scheduler.isEmpty()) {
            return new PoolReport(owner, -1, -1, List.of());
        }
        List<UpstreamReport> reports = scheduler.get().upstreams().stream()
                .map(state -> UpstreamReport.of(state, loop.nowMicros()))
                .toList();
        return new PoolReport(
                owner, scheduler.get().waitingCount(), scheduler.get().permitsInUse(), reports);
    }

    /**
     * Describes the state of one upstream, as the owner of the queue sees it.
     *
     * @param name the name of the upstream.
     * @param usable whether it is sent new requests.
     * @param inFlight the number of requests that this scheduler has in flight at it.
     * @param limit the maximum number of requests in flight.
     * @param outputMicros the estimated time for each output token, in microseconds, computed from earlier answers.
     */
    public record UpstreamReport(String name, boolean usable, int inFlight, int limit, long outputMicros) {
        private static UpstreamReport of(UpstreamState state, long now) {
            return new UpstreamReport(
                    state.name(), state.isUsable(now), state.inFlight().size(), state.limit(), (long)
                            state.speed().outputMicros());
        }
    }
}
