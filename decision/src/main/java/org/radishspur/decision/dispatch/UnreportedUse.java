package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Collects the use that an entry admits without a scheduler, until a scheduler receives it and counts it as its own.
 */
final class UnreportedUse {
    /** The number of slices in which the time of use is stated. */
    private static final int SLICES = 80;

    private final long windowMillis;
    private final Map<String, UsageWindow> windows = new HashMap<>();

    /**
     * Creates a collection without use.
     *
     * @param windowMillis the window over which limits are measured, in milliseconds; 0 if they aren't, and nothing is
     *     collected.
     */
    UnreportedUse(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Adds the use of one request.
     *
     * @param organisation the name of the organisation.
     * @param cost the cost in the unit of the limit.
     * @param now the current time in milliseconds.
     */
    void add(String organisation, double cost, long now) {
        if (windowMillis > 0 && cost > 0) {
            UsageWindow window =
                    windows.computeIfAbsent(organisation, key -> new UsageWindow(windowMillis, SLICES, now));
            window.advance(now);
            window.add(cost, now);
        }
    }

    /**
     * Returns whether there is any use.
     *
     * @return whether nothing was added since the last {@link #take}.
     */
    boolean isEmpty() {
        return windows.isEmpty();
    }

    /**
     * Removes all use.
     *
     * @param now the current time in milliseconds.
     * @return when it was started, by organisation.
     */
    Map<String, UseHistory> take(long now) {
        Map<String, UseHistory> histories = new HashMap<>();
        windows.forEach((organisation, window) -> {
            window.advance(now);
            histories.put(organisation, window.history(now));
        });
        windows.clear();
        return histories;
    }
}
