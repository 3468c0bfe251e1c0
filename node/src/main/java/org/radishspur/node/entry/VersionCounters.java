package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.node.fleet.FleetMessage.VersionTally;
import org.radishspur.node.schedule.ControlFollower;

/**
 * Counts what this entry sees of the versions of each pool, by route.
 */
final class VersionTallies implements ControlFollower.TallySource {
    private final Map<String, VersionTally> counts = new HashMap<>();

    synchronized void add(String pool, String version, String route, boolean good, double first, double pace) {
        String name = pool + '\n' + version + '\n' + route;
        VersionTally before = counts.getOrDefault(name, new VersionTally(pool, version, route, 0, 0, 0, 0));
        counts.put(
                name,
                new VersionTally(
                        pool,
                        version,
                        route,
                        before.answers() + 1,
                        before.failures() + (good ? 0 : 1),
                        before.firstMillis() + first,
                        before.paceMillis() + pace));
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<VersionTally> tallies() {
        return new ArrayList<>(counts.values());
    }
}
