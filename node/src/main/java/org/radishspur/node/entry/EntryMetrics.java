package org.radishspur.node.entry;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Counts what an entry does, by reason, and measures how long it takes.
 */
final class EntryMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Timer firstByte = registry.timer("answers.first-byte");
    private final Timer whole = registry.timer("answers.whole");
    private final Timer waited = registry.timer("requests.waited");

    MetricRegistry registry() {
        return registry;
    }

    void refused(String reason) {
        registry.counter("requests.refused." + reason).inc();
    }

    void failed(String reason) {
        registry.counter("requests.failed." + reason).inc();
    }

    void retried(String reason) {
        registry.counter("requests.retried." + reason).inc();
    }

    void waited(long millis) {
        waited.update(millis, TimeUnit.MILLISECONDS);
    }

    void answered(long firstMillis, long millis) {
        firstByte.update(firstMillis, TimeUnit.MILLISECONDS);
        whole.update(millis, TimeUnit.MILLISECONDS);
    }

    void left() {
        registry.counter("requests.left").inc();
    }
}
