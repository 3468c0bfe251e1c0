package org.radishspur.node.upstream;

import java.util.Arrays;

/**
 * Remembers which requests were sent on one connection. Only hashes are kept: two requests with the same hash merely use
 * different connections.
 */
final class SentRequests {
    /** The number of requests after which a connection is no longer reused, so that what is kept stays small. */
    static final int MAX_REQUESTS = 1_024;

    private static final int INITIAL_CAPACITY = 8;

    private int[] hashes = new int[INITIAL_CAPACITY];
    private int count;

    /** Adds a request that is being sent. */
    void add(RequestIdentity identity) {
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, count * 2);
        }
        hashes[count++] = identity.id().hashCode();
    }

    /** Returns whether a request may have been sent. */
    boolean mayContain(RequestIdentity identity) {
        int hash = identity.id().hashCode();
        for (int index = 0; index < count; index++) {
            if (hashes[index] == hash) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether no further request should be sent. */
    boolean isFull() {
        return count >= MAX_REQUESTS;
    }
}
