package org.radishspur.node.schedule;

import java.util.Set;
import java.util.TreeSet;

import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Logs the progress of the evacuation of failure domains at this scheduler. A failure domain is empty once every
 * scheduler has logged it as empty.
 */
final class EvacuationLog {
    private final PoolSet pools;
    private final EventLog events;
    private final Set<String> evacuated = new TreeSet<>();
    private final Set<String> draining = new TreeSet<>();

    EvacuationLog(PoolSet pools, EventLog events) {
        this.pools = pools;
        this.events = events;
    }

    /** Updates the set of evacuated failure domains and logs the changes. */
    void onView(Set<String> current) {
        Set<String> readmitted = new TreeSet<>(evacuated);
        readmitted.removeAll(current);
        Set<String> added = new TreeSet<>(current);
        added.removeAll(evacuated);
        evacuated.removeAll(readmitted);
        draining.removeAll(readmitted);
        readmitted.forEach(failureDomain -> emit(failureDomain, "readmitted"));
        evacuated.addAll(added);
        draining.addAll(added);
        added.forEach(failureDomain -> emit(failureDomain, "evacuated"));
    }

    /** Logs each evacuated failure domain in which no request of this scheduler is in progress any more. */
    void logDrained() {
        draining.removeIf(failureDomain -> {
            boolean empty = pools.inProgress(failureDomain) == 0;
            if (empty) {
                emit(failureDomain, "empty");
            }
            return empty;
        });
    }

    private void emit(String failureDomain, String state) {
        events.emit(EventCode.EVACUATION, failureDomain, state, pools.inProgress(failureDomain));
    }
}
