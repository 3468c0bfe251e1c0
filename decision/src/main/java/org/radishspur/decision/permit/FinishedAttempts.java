package org.radishspur.decision.permit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.radishspur.model.request.PermitId;

/**
 * Keeps the latest attempts that have ended, so that a late duplicate of an attempt's request is not queued again.
 */
final class FinishedAttempts {
    private final int capacity;

    /** Whether each attempt was only dropped, because its entry was taken as lost. */
    private final Map<PermitId, Boolean> attempts = new LinkedHashMap<>();

    FinishedAttempts(int capacity) {
        this.capacity = capacity;
    }

    boolean contains(PermitId id) {
        return attempts.containsKey(id);
    }

    void add(PermitId id) {
        put(id, false);
    }

    void addDropped(PermitId id) {
        put(id, true);
    }

    private void put(PermitId id, boolean dropped) {
        attempts.put(id, dropped);
        if (attempts.size() > capacity) {
            Iterator<PermitId> oldest = attempts.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Removes the dropped attempts of an entry process, so that they can be registered and queued again. */
    void forgetDropped(String node, long incarnation) {
        attempts.entrySet()
                .removeIf(attempt -> attempt.getValue()
                        && attempt.getKey().node().equals(node)
                        && attempt.getKey().incarnation() == incarnation);
    }
}
