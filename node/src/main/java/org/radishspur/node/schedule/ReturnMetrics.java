package org.radishspur.node.schedule;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.radishspur.decision.dispatch.ReturnSchedule;

/**
 * Publishes what becomes of the callers that a scheduler has refused.
 */
final class ReturnMetrics {
    private final MetricRegistry metrics;

    /**
     * Creates metrics without pools.
     *
     * @param metrics the registry of the process.
     */
    ReturnMetrics(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Adds the gauges of a pool unless they are there already. */
    void add(String pool, ReturnSchedule returns) {
        String prefix = "scheduler.returns." + pool + '.';
        metrics.gauge(prefix + "booked", () -> (Gauge<Long>) returns::booked);
        metrics.gauge(prefix + "returned", () -> (Gauge<Long>) returns::returned);
        metrics.gauge(prefix + "refused-again", () -> (Gauge<Long>) returns::refusedAgain);
    }
}
