package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums up what other entries have told, of which each newer word replaces the one before.
 */
final class SumByPeer {
    private final Map<String, Long> amounts = new HashMap<>();
    private long total;

    /** Takes an entry's newest amount; 0 forgets the entry. */
    void put(String entry, long amount) {
        Long before = amount == 0 ? amounts.remove(entry) : amounts.put(entry, amount);
        total += amount - (before == null ? 0 : before);
    }

    long total() {
        return total;
    }
}
