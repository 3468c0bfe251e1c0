package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.node.fleet.FleetMessage.VersionCounts;
import org.radishspur.node.schedule.ViewPoller;
import org.radishspur.replication.state.CatalogueState.Rollout;

/**
 * Counts the responses of each version of a pool by route while a rollout of the pool is in progress, for the reports on
 * rollouts to the control leader. It may be called from any thread.
 */
final class VersionCounters implements ViewPoller.CountSource {
    private final Map<String, Trial> trials = new HashMap<>();

    /** Starts counting for rollouts that have begun, and forgets those that have ended. */
    synchronized void setRollouts(List<Rollout> rollouts) {
        trials.keySet()
                .removeIf(pool -> rollouts.stream()
                        .noneMatch(rollout ->
                                rollout.pool().equals(pool) && !rollout.stage().isFinal()));
        for (Rollout rollout : rollouts) {
            Trial known = trials.get(rollout.pool());
            boolean isNew = known == null || known.startedAtMillis != rollout.startedAtMillis();
            if (!rollout.stage().isFinal() && isNew) {
                trials.put(rollout.pool(), new Trial(rollout.startedAtMillis()));
            }
        }
    }

    /** Adds one response, with its times to the first byte and for one event in milliseconds. */
    synchronized void add(
            String pool, String version, String route, boolean succeeded, double firstMillis, double eventMillis) {
        Trial trial = trials.get(pool);
        if (trial == null) {
            return;
        }
        String key = version + '\n' + route;
        VersionCounts before = trial.counts.getOrDefault(
                key, new VersionCounts(pool, version, route, 0, 0, 0, 0, trial.startedAtMillis));
        trial.counts.put(
                key,
                new VersionCounts(
                        pool,
                        version,
                        route,
                        before.answers() + 1,
                        before.failures() + (succeeded ? 0 : 1),
                        before.firstMillis() + firstMillis,
                        before.eventMillis() + eventMillis,
                        trial.startedAtMillis));
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<VersionCounts> versionCounts() {
        List<VersionCounts> all = new ArrayList<>();
        trials.values().forEach(trial -> all.addAll(trial.counts.values()));
        return all;
    }

    /** Holds the counts of one rollout. */
    private static final class Trial {
        private final long startedAtMillis;
        private final Map<String, VersionCounts> counts = new HashMap<>();

        private Trial(long startedAtMillis) {
            this.startedAtMillis = startedAtMillis;
        }
    }
}
