package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.rollout.UpstreamTimes;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.fleet.FleetMessage.RolloutTimes;
import org.radishspur.node.fleet.FleetMessage.VersionCounts;
import org.radishspur.node.schedule.ViewPoller;
import org.radishspur.replication.state.CatalogueState.Rollout;

/**
 * Counts the responses of each version of a pool by route while a rollout of the pool is in progress, and those of all
 * versions before, for the reports on rollouts to the control leader. It may be called from any thread.
 */
final class VersionCounters implements ViewPoller.CountSource {
    /** The number of times of other versions that are added in any case, and for each time of the target version. */
    private static final int MIN_TIMES_OF_OTHERS = 32;

    private static final int TIMES_OF_OTHERS_FACTOR = 3;
    private static final String ALL_VERSIONS = "";

    private final Map<String, Trial> trials = new HashMap<>();
    private final Map<String, RecentOutcomes> recentByPool = new HashMap<>();

    /** Starts counting for rollouts that have begun, and discards the counts of those that have ended. */
    synchronized void setRollouts(List<Rollout> rollouts) {
        trials.keySet()
                .removeIf(pool -> rollouts.stream()
                        .noneMatch(rollout ->
                                rollout.pool().equals(pool) && !rollout.stage().isFinal()));
        for (Rollout rollout : rollouts) {
            Trial known = trials.get(rollout.pool());
            boolean isNew = known == null || known.startedAtMillis != rollout.startedAtMillis();
            if (!rollout.stage().isFinal() && isNew) {
                RecentOutcomes recent = recent(rollout.pool());
                trials.put(rollout.pool(), new Trial(rollout.target(), rollout.startedAtMillis(), recent.byRoute()));
                recent.addTimesTo(trials.get(rollout.pool()).times);
            }
        }
    }

    private RecentOutcomes recent(String pool) {
        return recentByPool.computeIfAbsent(pool, key -> new RecentOutcomes());
    }

    /** Counts what a version gave to one request. */
    synchronized void add(String pool, String version, String route, Outcome outcome) {
        Trial trial = trials.get(pool);
        if (trial == null) {
            recent(pool).add(route, outcome, EntryServices.now());
        } else {
            trial.counts
                    .computeIfAbsent(new Key(version, route), key -> new EnumMap<>(Outcome.class))
                    .merge(outcome, 1L, Long::sum);
        }
    }

    /**
     * Adds a response time of an upstream. Of the many responses of the versions that aren't under trial only as many are
     * added as the comparison needs, since all are sent with each report.
     */
    synchronized void addTime(Upstream upstream, UpstreamTimes.Measure measure, double millis) {
        Trial trial = trials.get(upstream.pool());
        if (trial == null) {
            recent(upstream.pool()).addTime(upstream.runId().hashCode(), measure, millis);
            return;
        }
        boolean isTarget = upstream.version().equals(trial.target);
        if (isTarget) {
            trial.timesOfTarget++;
        } else if (trial.timesOfOthers > MIN_TIMES_OF_OTHERS + TIMES_OF_OTHERS_FACTOR * trial.timesOfTarget) {
            return;
        } else {
            trial.timesOfOthers++;
        }
        trial.times.add(upstream.runId().hashCode(), isTarget, measure, millis);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<VersionCounts> versionCounts() {
        List<VersionCounts> all = new ArrayList<>();
        trials.forEach((pool, trial) -> trial.counts.forEach(
                (key, counts) -> all.add(report(pool, trial, key.version(), key.route(), counts))));
        return all;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<VersionCounts> countsBefore() {
        List<VersionCounts> all = new ArrayList<>();
        trials.forEach((pool, trial) ->
                trial.before.forEach((route, counts) -> all.add(report(pool, trial, ALL_VERSIONS, route, counts))));
        return all;
    }

    private static VersionCounts report(
            String pool, Trial trial, String version, String route, Map<Outcome, Long> counts) {
        long failures = counts.getOrDefault(Outcome.FAILURE, 0L);
        return new VersionCounts(
                pool,
                version,
                route,
                counts.getOrDefault(Outcome.SUCCESS, 0L) + failures,
                failures,
                0,
                0,
                trial.startedAtMillis,
                counts.getOrDefault(Outcome.NONE, 0L));
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<RolloutTimes> rolloutTimes() {
        List<RolloutTimes> all = new ArrayList<>();
        trials.forEach((pool, trial) -> all.add(new RolloutTimes(pool, trial.startedAtMillis, trial.times.toArray())));
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
        private final String target;
        private final long startedAtMillis;
        private final Map<String, Map<Outcome, Long>> before;
        private final UpstreamTimes times = new UpstreamTimes();
        private int timesOfTarget;
        private int timesOfOthers;
        private final Map<Key, Map<Outcome, Long>> counts = new HashMap<>();

        private Trial(String target, long startedAtMillis, Map<String, Map<Outcome, Long>> before) {
            this.target = target;
            this.startedAtMillis = startedAtMillis;
            this.before = before;
        }
    }
}
