package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums up what peers have reported; each newer report of a peer replaces the one before.
 */
final class PeerTotal {
    private final Map<String, Long> amounts = new HashMap<>();
    private long total;

    /** Takes a peer's newest amount; 0 forgets the peer. */
    void put(String peer, long amount) {
        Long previous = amount == 0 ? amounts.remove(peer) : amounts.put(peer, amount);
        total += amount - (previous == null ? 0 : previous);
    }

    long total() {
        return total;
    }
}
