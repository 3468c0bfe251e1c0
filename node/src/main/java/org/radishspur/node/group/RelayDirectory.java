package org.radishspur.node.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

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

    /** The entries that reach upstreams as a ring, in an order that is the same at all times and spreads them. */
    private final NavigableSet<String> ring =
            new TreeSet<>(Comparator.comparingInt((String entry) -> RendezvousWeight.INSTANCE.of("", entry))
                    .thenComparing(Comparator.naturalOrder()));

    private long nextExpiryAt;

    /** Records the report of an entry. */
    void record(String entry, UpstreamReach reach, long now) {
        if (reach == UpstreamReach.REACHED) {
            reachingAt.put(entry, now);
            ring.add(entry);
        } else if (reachingAt.remove(entry) != null) {
            ring.remove(entry);
        }
    }

    /** Returns the next entries in the ring, through which another one, or none if the name is empty, may connect. */
    List<String> relaysFor(String entry, long now) {
        if (now >= nextExpiryAt) {
            nextExpiryAt = now + EXPIRY_INTERVAL_MILLIS;
            reachingAt.values().removeIf(reportedAt -> now - reportedAt > REPORT_TIMEOUT_MILLIS);
            ring.retainAll(reachingAt.keySet());
        }
        List<String> relays = new ArrayList<>();
        String last = entry;
        while (!entry.isEmpty() && relays.size() < Math.min(RELAYS_PER_ENTRY, ring.size())) {
            String next = ring.higher(last);
            last = next == null ? ring.first() : next;
            if (last.equals(entry)) {
                break;
            }
            relays.add(last);
        }
        return relays;
    }
}
