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

    private final Map<String, Long> reachingAt = new HashMap<>();

    /** Records the report of an entry. */
    void record(String entry, UpstreamReach reach, long now) {
        if (reach == UpstreamReach.REACHED) {
            reachingAt.put(entry, now);
        } else {
            reachingAt.remove(entry);
        }
    }

    /** Returns the entries through which another one, or none if the name is empty, may reach upstreams. */
    List<String> relaysFor(String entry, long now) {
        reachingAt.values().removeIf(reportedAt -> now - reportedAt > REPORT_TIMEOUT_MILLIS);
        if (entry.isEmpty()) {
            return List.of();
        }
        return reachingAt.keySet().stream()
                .filter(other -> !other.equals(entry))
                .sorted(Comparator.comparingInt((String other) -> RendezvousWeight.INSTANCE.of(entry, other))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(RELAYS_PER_ENTRY)
                .toList();
    }
}
