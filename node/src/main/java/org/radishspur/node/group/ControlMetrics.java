package org.radishspur.node.group;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.radishspur.replication.raft.Role;

/**
 * Registers the metrics of a control host: its role, term and catalogue revision, operators' calls, readings of the
 * host list and view requests. Any thread may read them.
 */
final class ControlMetrics {
    private static final long NEVER_READ = -1;

    private final MetricRegistry registry = new MetricRegistry();
    private volatile boolean leading;
    private volatile long term;
    private volatile long revision;
    private volatile long skippedEntries;
    private volatile long listReadAtMillis;

    /**
     * Creates the metrics.
     *
     * @param nowMillis the monotonic clock, by which no point in time is 0, in milliseconds.
     */
    ControlMetrics(LongSupplier nowMillis) {
        registry.register("control.leading", (Gauge<Integer>) () -> leading ? 1 : 0);
        registry.register("control.term", (Gauge<Long>) () -> term);
        registry.register("catalogue.revision", (Gauge<Long>) () -> revision);
        registry.register("host-list.skipped-entries", (Gauge<Long>) () -> skippedEntries);
        registry.register("host-list.age-millis", (Gauge<Long>) () -> {
            long readAt = listReadAtMillis;
            return readAt == 0 ? NEVER_READ : nowMillis.getAsLong() - readAt;
        });
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

    void recordListRead(long skipped, long nowMillis) {
        skippedEntries = skipped;
        listReadAtMillis = nowMillis;
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
