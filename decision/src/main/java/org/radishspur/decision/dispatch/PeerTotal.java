package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums up the latest amounts that peers have reported.
 */
final class PeerTotal {
    private final Map<String, Long> amounts = new HashMap<>();
    private long total;

    /** Replaces the amount of a peer; 0 removes the peer. */
    void put(String peer, long amount) {
        Long previous = amount == 0 ? amounts.remove(peer) : amounts.put(peer, amount);
        total += amount - (previous == null ? 0 : previous);
    }

    long total() {
        return total;
    }
}
