package org.radishspur.node.metrics;

import java.util.Locale;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Writes metrics in the Prometheus text format, one sample per line.
 */
public enum MetricsText {
    /** The only instance; it keeps no state. */
    INSTANCE;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    /**
     * Writes all metrics of a registry.
     *
     * @param registry the registry.
     * @return the text.
     */
    public String write(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> appendSample(text, name + "_total", "", counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                appendSample(text, name, "", number.doubleValue());
            }
        });
        registry.getTimers().forEach((name, timer) -> {
            Snapshot snapshot = timer.getSnapshot();
            for (double quantile : QUANTILES) {
                String label = "{quantile=\"" + quantile + "\"}";
                appendSample(text, name + "_seconds", label, snapshot.getValue(quantile) / NANOS_PER_SECOND);
            }
            appendSample(text, name + "_seconds_count", "", timer.getCount());
        });
        return text.toString();
    }

    private static void appendSample(StringBuilder text, String name, String label, double value) {
        text.append("radishspur_")
                .append(name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_"))
                .append(label)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
