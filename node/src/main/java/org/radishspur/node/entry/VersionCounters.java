package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.node.fleet.FleetMessage.VersionCounts;
import org.radishspur.node.schedule.ControlFollower;

/**
 * Counts what this entry sees of the versions of each pool, by route.
 */
final class VersionCounters implements ControlFollower.CountSource {
    private final Map<String, VersionCounts> counts = new HashMap<>();

    synchronized void add(String pool, String version, String route, boolean good, double first, double pace) {
        String name = pool + '\n' + version + '\n' + route;
        VersionCounts before = counts.getOrDefault(name, new VersionCounts(pool, version, route, 0, 0, 0, 0));
        counts.put(
                name,
                new VersionCounts(
                        pool,
                        version,
                        route,
                        before.answers() + 1,
                        before.failures() + (good ? 0 : 1),
                        before.firstMillis() + first,
                        before.eventMillis() + pace));
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<VersionCounts> tallies() {
        return new ArrayList<>(counts.values());
    }
}
