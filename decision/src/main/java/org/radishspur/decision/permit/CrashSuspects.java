package org.radishspur.decision.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.radishspur.model.request.PermitId;

/**
 * Keeps the crash suspects: requests that were in flight when an upstream crashed. A suspect runs on an upstream
 * without other requests, one suspect of a pool at a time; a request that was in flight at two crashes is refused.
 */
final class CrashSuspects {
    private static final int CRASHES_TO_REFUSE = 2;

    /** The time after the first lost connection of an upstream within which further ones belong to the same crash. */
    private static final long CRASH_WINDOW_MICROS = 2_000_000;

    private final String owner;
    private final Map<String, Set<String>> localCrashes = new HashMap<>();
    private final Set<PermitId> running = new HashSet<>();
    private final Map<String, Crash> latestCrash = new HashMap<>();
    private Map<String, Integer> agreedCounts = Map.of();
    private long crashCount;

    CrashSuspects(String owner) {
        this.owner = owner;
    }

    boolean isSuspect(String fingerprint) {
        return crashCountOf(fingerprint) > 0;
    }

    boolean isRefused(String fingerprint) {
        return crashCountOf(fingerprint) >= CRASHES_TO_REFUSE;
    }

    boolean isAnyRunning() {
        return !running.isEmpty();
    }

    void started(PermitId id) {
        running.add(id);
    }

    void ended(PermitId id) {
        running.remove(id);
    }

    /**
     * Returns the identifier of the crash that a lost connection belongs to. The connections that an upstream loses
     * within a short time belong to the same crash.
     */
    String crashIdFor(String upstream, long now) {
        Crash crash = latestCrash.get(upstream);
        if (crash == null || now - crash.startedAt() > CRASH_WINDOW_MICROS) {
            crash = new Crash(owner + '/' + upstream + '/' + crashCount++, now);
            latestCrash.put(upstream, crash);
        }
        return crash.id();
    }

    void recordCrash(String fingerprint, String crash) {
        localCrashes.computeIfAbsent(fingerprint, key -> new HashSet<>()).add(crash);
    }

    /** Clears a request that was answered to the end; returns whether it was a suspect. */
    boolean clear(String fingerprint) {
        boolean wasSuspect = isSuspect(fingerprint);
        localCrashes.remove(fingerprint);
        if (agreedCounts.containsKey(fingerprint)) {
            agreedCounts = new HashMap<>(agreedCounts);
            agreedCounts.remove(fingerprint);
        }
        return wasSuspect;
    }

    /**
     * Replaces the crash counts that all owners agree on. A suspect that was found here is kept until it has been in
     * the agreed counts and left them again, so that a second crash counts immediately, before the agreed count grows.
     */
    void replaceAgreedCounts(Map<String, Integer> crashCounts) {
        localCrashes
                .keySet()
                .removeIf(suspect -> agreedCounts.containsKey(suspect) && !crashCounts.containsKey(suspect));
        agreedCounts = crashCounts;
    }

    private int crashCountOf(String fingerprint) {
        int localCount = localCrashes.getOrDefault(fingerprint, Set.of()).size();
        return Math.max(localCount, agreedCounts.getOrDefault(fingerprint, 0));
    }

    /**
     * The latest crash of an upstream.
     *
     * @param id the identifier of the crash.
     * @param startedAt when its first lost connection was reported, in microseconds.
     */
    private record Crash(String id, long startedAt) {}
}
