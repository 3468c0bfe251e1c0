package org.radishspur.node.group;

import java.util.function.LongSupplier;

import org.radishspur.node.dialect.SkippedEntries;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Records the outcome of each reading of the platform's host list in the metrics and the log. Entries that name no upstream
 * are logged when they change, as the same ones may stand in the list for long.
 */
final class HostListLog {
    private final EventLog events;
    private final ControlMetrics metrics;
    private final LongSupplier nowMillis;
    private SkippedEntries lastSkipped = SkippedEntries.NONE;

    HostListLog(EventLog events, ControlMetrics metrics, LongSupplier nowMillis) {
        this.events = events;
        this.metrics = metrics;
        this.nowMillis = nowMillis;
    }

    /** Records a complete reading. */
    void record(SkippedEntries skipped) {
        metrics.recordListRead(skipped.count(), nowMillis.getAsLong());
        if (!skipped.equals(lastSkipped)) {
            lastSkipped = skipped;
            events.emit(EventCode.LIST_SKIPPED, skipped.count(), String.join(" ", skipped.excerpts()));
        }
    }

    /** Records a reading that has failed, after which the last complete one holds. */
    void recordFailure(String cause) {
        metrics.recordListFailure();
        events.emit(EventCode.LIST_FAILED, cause);
    }
}
