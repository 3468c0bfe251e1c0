package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.model.catalogue.Upstream;

/**
 * Bounds the bytes of large bodies that this entry has sent to one upstream and that wait there for their responses, so
 * that they don't exhaust the memory of an upstream that reads slowly. Small bodies are bounded by the slots. The traffic
 * thread owns it.
 */
final class UnansweredBodies {
    private final Map<String, Long> bytesByRun = new HashMap<>();

    /**
     * Returns whether a body may be sent to an upstream. An upstream has to bear the largest body in each of its slots;
     * of that, this entry takes its part among all entries, or one largest body if that is more. What others have sent
     * isn't known here.
     *
     * @param upstream the upstream.
     * @param bodyBytes the size of the body, in bytes.
     * @param maxBodyBytes the maximum size of a body, in bytes.
     * @param entries the number of entries.
     * @return whether it may.
     */
    boolean hasRoom(Upstream upstream, long bodyBytes, long maxBodyBytes, int entries) {
        long waiting = bytesByRun.getOrDefault(upstream.runId(), 0L);
        long bound = Math.max(maxBodyBytes, upstream.slots() * maxBodyBytes / Math.max(1, entries));
        return !isLarge(bodyBytes) || waiting == 0 || waiting + bodyBytes <= bound;
    }

    /** Returns the runs of upstreams at which large bodies of this entry wait, which another one should avoid. */
    List<String> avoidedBy(long bodyBytes) {
        return isLarge(bodyBytes) ? List.copyOf(bytesByRun.keySet()) : List.of();
    }

    private static boolean isLarge(long bodyBytes) {
        return bodyBytes > RequestBody.SMALL_BYTES;
    }

    /** Counts a body that is being sent. */
    void add(Upstream upstream, long bodyBytes) {
        if (isLarge(bodyBytes)) {
            bytesByRun.merge(upstream.runId(), bodyBytes, Long::sum);
        }
    }

    /** Ends the count of a body, as its response is complete or its connection closed. */
    void remove(Upstream upstream, long bodyBytes) {
        if (isLarge(bodyBytes)) {
            bytesByRun.computeIfPresent(upstream.runId(), (run, bytes) -> bytes > bodyBytes ? bytes - bodyBytes : null);
        }
    }
}
