package org.radishspur.decision.crash;

import java.util.ArrayList;
import java.util.List;

/**
 * Identifies a request by all that may end an upstream: its content as a whole, and each part of its prompt that other
 * requests may have too.
 *
 * @param content identifies the content.
 * @param parts identify the shared parts, see {@link #ofPart}.
 */
public record RequestSignatures(long content, List<Long> parts) {
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;

    /** Copies the list of parts. */
    public RequestSignatures {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the signature of a part. It depends on nothing else, as a part that ends upstreams does so wherever it stands
     * and whoever sends it.
     *
     * @param id the identity of the part.
     * @return the signature.
     */
    public static long ofPart(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int index = 0; index < id.length(); index++) {
            hash = (hash ^ id.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Returns all signatures.
     *
     * @return the content and then the parts.
     */
    public List<Long> all() {
        List<Long> signatures = new ArrayList<>(parts.size() + 1);
        signatures.add(content);
        signatures.addAll(parts);
        return signatures;
    }
}
