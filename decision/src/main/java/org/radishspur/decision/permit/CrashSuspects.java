package org.radishspur.decision.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.radishspur.model.request.PermitId;

/**
 * Knows which requests were in flight at crashes. A suspect runs apart from all others; one that was in flight at two
 * crashes is refused.
 */
final class CrashSuspects {
    private static final int CRASHES_TO_REFUSE = 2;
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

    /** Names the crash that a lost connection belongs to: all that one upstream loses at about one time are one. */
    String crashIdFor(String upstream, long now) {
        Crash crash = latestCrash.get(upstream);
        if (crash == null || now - crash.at() > CRASH_WINDOW_MICROS) {
            crash = new Crash(owner + '/' + upstream + '/' + crashCount++, now);
            latestCrash.put(upstream, crash);
        }
        return crash.id();
    }

    void recordCrash(String fingerprint, String crash) {
        localCrashes.computeIfAbsent(fingerprint, key -> new HashSet<>()).add(crash);
    }

    /** Forgets a suspect that ran to its end; returns whether it was one. */
    boolean clear(String fingerprint) {
        boolean known = isSuspect(fingerprint);
        localCrashes.remove(fingerprint);
        if (agreedCounts.containsKey(fingerprint)) {
            agreedCounts = new HashMap<>(agreedCounts);
            agreedCounts.remove(fingerprint);
        }
        return known;
    }

    /**
     * Takes over what all owners agree on. What was seen here stays until the others have heard of it and forgotten it:
     * a second crash must count on top of the first one at once, before the agreed number grows.
     */
    void replaceAgreedCounts(Map<String, Integer> crashes) {
        localCrashes.keySet().removeIf(seen -> agreedCounts.containsKey(seen) && !crashes.containsKey(seen));
        agreedCounts = crashes;
    }

    private int crashCountOf(String fingerprint) {
        int here = localCrashes.getOrDefault(fingerprint, Set.of()).size();
        return Math.max(here, agreedCounts.getOrDefault(fingerprint, 0));
    }

    /**
     * Remembers the latest crash of an upstream.
     *
     * @param id what tells it from others.
     * @param at when its first sign came, in microseconds.
     */
    private record Crash(String id, long at) {}
}
