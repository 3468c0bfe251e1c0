package org.radishspur.decision.permit;

import java.util.LinkedHashSet;

import org.radishspur.model.request.PermitId;

/**
 * Keeps the latest attempts that have ended, so that a late duplicate of an attempt's request is not queued again.
 */
final class FinishedAttempts {
    private final int capacity;
    private final LinkedHashSet<PermitId> ids = new LinkedHashSet<>();

    FinishedAttempts(int capacity) {
        this.capacity = capacity;
    }

    boolean contains(PermitId id) {
        return ids.contains(id);
    }

    void add(PermitId id) {
        ids.add(id);
        if (ids.size() > capacity) {
            ids.remove(ids.iterator().next());
        }
    }
}
