package org.radishspur.node.group;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.replication.state.CatalogueState.Rollout;

/**
 * Measures how long rollouts have been in progress by the monotonic clock, so that a step of the wall clock neither ends a
 * trial early nor prolongs it. Only what passed before a rollout was first seen is taken from the wall clock.
 */
final class RolloutClock {
    private final Map<Key, Long> startByRollout = new HashMap<>();

    /**
     * Notes the rollouts in progress and forgets all others. Each replica does so all the time, so that a new leader has
     * seen them before any step of the clock.
     *
     * @param unfinished the rollouts in progress.
     * @param wallMillis the wall clock, in milliseconds since the epoch.
     * @param now the monotonic clock in milliseconds.
     */
    void observe(List<Rollout> unfinished, long wallMillis, long now) {
        startByRollout.keySet().retainAll(unfinished.stream().map(Key::of).toList());
        for (Rollout rollout : unfinished) {
            long age = Math.max(0, Math.min(rollout.periodMillis(), wallMillis - rollout.startedAtMillis()));
            startByRollout.putIfAbsent(Key.of(rollout), now - age);
        }
    }

    /**
     * Returns the part of a rollout's period that has passed.
     *
     * @param rollout a rollout that was observed.
     * @param now the monotonic clock in milliseconds.
     * @return the share, from 0; more than 1 after the deadline.
     */
    double elapsedShare(Rollout rollout, long now) {
        long start = startByRollout.getOrDefault(Key.of(rollout), now);
        return (double) (now - start) / Math.max(1, rollout.periodMillis());
    }

    /** Identifies a rollout in all its stages. */
    private record Key(String pool, String target, long startedAtMillis) {
        static Key of(Rollout rollout) {
            return new Key(rollout.pool(), rollout.target(), rollout.startedAtMillis());
        }
    }
}
