package org.radishspur.node.schedule;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.radishspur.decision.dispatch.StreamPauses;

/**
 * Publishes what a scheduler has learnt about pauses inside the streams of its pools, and what it does about them.
 */
final class StreamPauseMetrics {
    private final MetricRegistry metrics;

    /**
     * Creates metrics without pools.
     *
     * @param metrics the registry of the process.
     */
    StreamPauseMetrics(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Adds the gauges of a pool unless they are there already. */
    void add(String pool, StreamPauses pauses) {
        String prefix = "scheduler.pauses." + pool + '.';
        metrics.gauge(prefix + "ratio", () -> (Gauge<Double>) pauses::maxRatio);
        metrics.gauge(prefix + "delayed", () -> (Gauge<Long>) pauses::delayed);
        metrics.gauge(prefix + "held-up", () -> (Gauge<Long>) pauses::heldUp);
    }
}
