package org.radishspur.node.group;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.radishspur.replication.raft.Role;

/**
 * Registers the metrics of a control host: its role, term and catalogue revision, operators' calls, readings of the
 * host list and view requests. Any thread may read them.
 */
final class ControlMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private volatile boolean leading;
    private volatile long term;
    private volatile long revision;

    ControlMetrics() {
        registry.register("control.leading", (Gauge<Integer>) () -> leading ? 1 : 0);
        registry.register("control.term", (Gauge<Long>) () -> term);
        registry.register("catalogue.revision", (Gauge<Long>) () -> revision);
    }

    MetricRegistry registry() {
        return registry;
    }

    void recordRole(Role role, long newTerm) {
        leading = role == Role.LEADER;
        term = newTerm;
        registry.counter("control.roles." + role).inc();
    }

    void recordOperatorCall(int status, long currentRevision, long millis) {
        revision = currentRevision;
        registry.counter("operators.answers." + status).inc();
        registry.timer("operators.call").update(millis, TimeUnit.MILLISECONDS);
    }

    void recordListRead() {
        registry.counter("host-list.readings").inc();
    }

    void recordListFailure() {
        registry.counter("host-list.failures").inc();
    }

    void recordViewRequest(boolean confirmed) {
        registry.counter(confirmed ? "entries.confirmed" : "entries.unconfirmed")
                .inc();
    }
}
