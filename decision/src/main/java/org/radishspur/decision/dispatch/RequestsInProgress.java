package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests that one scheduler has in progress at one upstream, and their mean age. Ends are counted also for
 * requests whose start was not recorded, so that the count may be negative. The age of a request that was sent before its
 * entry attached to this scheduler counts from the attachment.
 */
final class RequestsInProgress {
    private final Map<Object, Long> startedAt = new HashMap<>();
    private long sumOfStarts;
    private int count;

    void add(Object request, long now) {
        count++;
        Long replaced = startedAt.put(request, now);
        sumOfStarts += now - (replaced == null ? 0 : replaced);
    }

    void remove(Object request) {
        count--;
        Long started = startedAt.remove(request);
        sumOfStarts -= started == null ? 0 : started;
    }

    int count() {
        return count;
    }

    /** Returns how long the requests have been in progress on average, in milliseconds; 0 where there are none. */
    double meanAgeMillis(long now) {
        return startedAt.isEmpty() ? 0 : now - (double) sumOfStarts / startedAt.size();
    }
}
