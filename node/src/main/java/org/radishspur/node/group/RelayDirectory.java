package org.radishspur.node.group;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.dispatch.RendezvousWeight;
import org.radishspur.node.fleet.FleetMessage.UpstreamReach;

/**
 * Knows which entries reach upstreams, and names some of them to each entry. All entries together name each other about
 * equally often, and the names change only when entries come, go or are cut off.
 */
final class RelayDirectory {
    /** The number of entries that are named to another one; some of them may be cut off a moment later. */
    static final int RELAYS_PER_ENTRY = 4;

    /** The time without a report after which an entry is no longer named, in milliseconds. */
    static final long REPORT_TIMEOUT_MILLIS = 1_500;

    /** How often entries without a report are looked for, in milliseconds. */
    private static final long EXPIRY_INTERVAL_MILLIS = 200;

    private final Map<String, Long> reachingAt = new HashMap<>();

    /** The entries named to each entry, kept until the set of entries changes: the leader is asked often. */
    private final Map<String, List<String>> named = new HashMap<>();

    private long nextExpiryAt;

    /** Records the report of an entry. */
    void record(String entry, UpstreamReach reach, long now) {
        boolean reaches = reach == UpstreamReach.REACHED;
        Long before = reaches ? reachingAt.put(entry, now) : reachingAt.remove(entry);
        if (reaches ? before == null : before != null) {
            named.clear();
        }
    }

    /** Returns the entries through which another one, or none if the name is empty, may reach upstreams. */
    List<String> relaysFor(String entry, long now) {
        if (now >= nextExpiryAt) {
            nextExpiryAt = now + EXPIRY_INTERVAL_MILLIS;
            if (reachingAt.values().removeIf(reportedAt -> now - reportedAt > REPORT_TIMEOUT_MILLIS)) {
                named.clear();
            }
        }
        return entry.isEmpty() ? List.of() : named.computeIfAbsent(entry, this::choose);
    }

    private List<String> choose(String entry) {
        return reachingAt.keySet().stream()
                .filter(other -> !other.equals(entry))
                .sorted(Comparator.comparingInt((String other) -> RendezvousWeight.INSTANCE.of(entry, other))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(RELAYS_PER_ENTRY)
                .toList();
    }
}
