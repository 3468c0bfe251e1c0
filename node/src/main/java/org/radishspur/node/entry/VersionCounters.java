package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.node.fleet.FleetMessage.VersionCounts;
import org.radishspur.node.schedule.ViewPoller;

/**
 * Counts the responses of each version of a pool by route, for the reports on rollouts to the control leader. It may be
 * called from any thread.
 */
final class VersionCounters implements ViewPoller.CountSource {
    private final Map<String, VersionCounts> counts = new HashMap<>();

    /** Adds one response, with its times to the first byte and for one event in milliseconds. */
    synchronized void add(
            String pool, String version, String route, boolean succeeded, double firstMillis, double eventMillis) {
        String key = pool + '\n' + version + '\n' + route;
        VersionCounts before = counts.getOrDefault(key, new VersionCounts(pool, version, route, 0, 0, 0, 0));
        counts.put(
                key,
                new VersionCounts(
                        pool,
                        version,
                        route,
                        before.answers() + 1,
                        before.failures() + (succeeded ? 0 : 1),
                        before.firstMillis() + firstMillis,
                        before.eventMillis() + eventMillis));
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<VersionCounts> versionCounts() {
        return new ArrayList<>(counts.values());
    }
}
