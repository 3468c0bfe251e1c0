package org.radishspur.node.control;

import java.util.List;
import java.util.Optional;

import org.radishspur.decision.permit.PoolScheduler;
import org.radishspur.decision.upstream.UpstreamState;

/**
 * Describes a pool's queue for operators.
 *
 * @param owner the node that owns the queue, as this node sees it.
 * @param waiting the number of requests that wait, or -1 where another node owns the queue.
 * @param permitsInUse the number of permits in use, or -1 where another node owns the queue.
 * @param upstreams what the owner knows of the upstreams.
 */
public record PoolReport(String owner, int waiting, int permitsInUse, List<UpstreamReport> upstreams) {

    static PoolReport of(String owner, Optional<PoolScheduler> scheduler, ControlLoop loop) {
        if (scheduler.isEmpty()) {
            return new PoolReport(owner, -1, -1, List.of());
        }
        List<UpstreamReport> lines = scheduler.get().upstreams().stream()
                .map(state -> UpstreamReport.of(state, loop.nowMicros()))
                .toList();
        return new PoolReport(owner, scheduler.get().waiting(), scheduler.get().permitsInUse(), lines);
    }

    /**
     * Describes one upstream.
     *
     * @param name the name of the upstream.
     * @param usable whether it is given work.
     * @param inFlight the number of requests that it runs for this system.
     * @param limit the number of requests that it may run at once.
     * @param outputMicros the learned time for each token of an answer, in microseconds.
     */
    public record UpstreamReport(String name, boolean usable, int inFlight, int limit, long outputMicros) {
        private static UpstreamReport of(UpstreamState state, long now) {
            return new UpstreamReport(
                    state.name(), state.isUsable(now), state.inFlight().size(), state.limit(), (long)
                            state.speed().outputMicros());
        }
    }
}
