package org.radishspur.node.schedule;

import java.util.Set;
import java.util.TreeSet;

import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;

/**
 * Logs how far the evacuation of failure domains is at one scheduler. A failure domain is empty once all schedulers say so.
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

    /** Takes over the failure domains that are evacuated now. */
    void onView(Set<String> newer) {
        Set<String> readmitted = new TreeSet<>(evacuated);
        readmitted.removeAll(newer);
        Set<String> added = new TreeSet<>(newer);
        added.removeAll(evacuated);
        evacuated.removeAll(readmitted);
        draining.removeAll(readmitted);
        readmitted.forEach(failureDomain -> emit(failureDomain, "readmitted"));
        evacuated.addAll(added);
        draining.addAll(added);
        added.forEach(failureDomain -> emit(failureDomain, "evacuated"));
    }

    /** Logs each failure domain in which the last request of this scheduler has ended. */
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
