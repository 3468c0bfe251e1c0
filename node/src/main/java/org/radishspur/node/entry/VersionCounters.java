package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.EnumMap;
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

    /** Counts what a version gave to one request. */
    synchronized void add(String pool, String version, String route, Outcome outcome) {
        Trial trial = trials.get(pool);
        if (trial != null) {
            trial.counts
                    .computeIfAbsent(new Key(version, route), key -> new EnumMap<>(Outcome.class))
                    .merge(outcome, 1L, Long::sum);
        }
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<VersionCounts> versionCounts() {
        List<VersionCounts> all = new ArrayList<>();
        trials.forEach((pool, trial) -> trial.counts.forEach((key, counts) -> {
            long failures = counts.getOrDefault(Outcome.FAILURE, 0L);
            all.add(new VersionCounts(
                    pool,
                    key.version(),
                    key.route(),
                    counts.getOrDefault(Outcome.SUCCESS, 0L) + failures,
                    failures,
                    0,
                    0,
                    trial.startedAtMillis,
                    counts.getOrDefault(Outcome.NONE, 0L)));
        }));
        return all;
    }

    /** What a version gave to a request. */
    enum Outcome {
        /** A whole response that is no failure. */
        SUCCESS,
        /** A failure, or a response that broke off. */
        FAILURE,
        /** Nothing for a while, until the request was given up. */
        NONE
    }

    /**
     * Identifies what is counted together.
     *
     * @param version the version.
     * @param route the route.
     */
    private record Key(String version, String route) {}

    /** Holds the counts of one rollout. */
    private static final class Trial {
        private final long startedAtMillis;
        private final Map<Key, Map<Outcome, Long>> counts = new HashMap<>();

        private Trial(long startedAtMillis) {
            this.startedAtMillis = startedAtMillis;
        }
    }
}
