package org.radishspur.node.schedule;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.radishspur.decision.dispatch.StreamPauses;
import org.radishspur.decision.dispatch.UpstreamPool;

/**
 * Publishes what a scheduler has measured in its pools: about pauses inside streams and what it does about them, and
 * for how long slots of plain calls count as taken while no call runs.
 */
final class PoolMetrics {
    private final MetricRegistry metrics;

    /**
     * Creates metrics without pools.
     *
     * @param metrics the registry of the process.
     */
    PoolMetrics(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Adds the gauges of a pool unless they are there already. */
    void add(String pool, UpstreamPool upstreams) {
        StreamPauses pauses = upstreams.pauses();
        String prefix = "scheduler.pauses." + pool + '.';
        metrics.gauge(prefix + "ratio", () -> (Gauge<Double>) pauses::maxRatio);
        metrics.gauge(prefix + "delayed", () -> (Gauge<Long>) pauses::delayed);
        metrics.gauge(prefix + "held-up", () -> (Gauge<Long>) pauses::heldUp);
        metrics.gauge(
                "scheduler.calls." + pool + ".unused-slot-share", () -> (Gauge<Double>) upstreams::unusedSlotShare);
    }
}
