package org.radishspur.node.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.node.peer.ClusterView;

/**
 * Tracks when the owner of a queue last received a message from each entry process, and finds those that are lost.
 */
final class EntryContacts {
    /** Longer than the interval at which entries register their permits. */
    static final long LOST_MILLIS = 2_000;

    private final Map<ClusterView.Member, Long> receivedAtMillis = new HashMap<>();

    void recordMessage(ClusterView.Member entry, long nowMillis) {
        receivedAtMillis.put(entry, nowMillis);
    }

    /**
     * Removes the lost processes and returns them. One that the leader doesn't list isn't lost while it sends messages:
     * it may be shutting down, or cut off from the leader alone.
     */
    List<ClusterView.Member> removeLost(Collection<ClusterView.Member> listed, long nowMillis) {
        List<ClusterView.Member> lost = receivedAtMillis.entrySet().stream()
                .filter(contact -> !listed.contains(contact.getKey()))
                .filter(contact -> nowMillis - contact.getValue() >= LOST_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
        lost.forEach(receivedAtMillis::remove);
        return lost;
    }
}
