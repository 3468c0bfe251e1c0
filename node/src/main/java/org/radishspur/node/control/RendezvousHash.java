package org.radishspur.node.control;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Chooses an owner by rendezvous hashing (Thaler and Ravishankar, 1998): when a node leaves, only the items that it
 * owned are reassigned.
 */
enum RendezvousHash {
    /** The only instance; the choice keeps no state. */
    INSTANCE;

    /** 2^64 divided by the golden ratio, the usual multiplier of Fibonacci hashing. */
    private static final long GOLDEN_RATIO_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int MIX_SHIFT = 32;

    Optional<String> owner(String subject, Collection<String> nodes) {
        return nodes.stream().max((left, right) -> {
            int order = Long.compareUnsigned(weight(subject, left), weight(subject, right));
            return order != 0 ? order : left.compareTo(right);
        });
    }

    private static long weight(String subject, String node) {
        CRC32C checksum = new CRC32C();
        checksum.update((subject + '\n' + node).getBytes(StandardCharsets.UTF_8));
        long mixed = checksum.getValue() * GOLDEN_RATIO_MULTIPLIER;
        return (mixed ^ mixed >>> MIX_SHIFT) * GOLDEN_RATIO_MULTIPLIER;
    }
}
