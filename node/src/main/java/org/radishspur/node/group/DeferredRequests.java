package org.radishspur.node.group;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetMessage;

/**
 * Holds view requests that arrive while no leader is known.
 *
 * <p>Shortens the outage after a restart of all replicas: the first heartbeat round of the new leader confirms the
 * requests that arrived before it. Otherwise each entry would have to retry, after up to 80 ms, and wait for another
 * round, which takes up to 60 ms more.
 */
final class DeferredRequests {
    /** How long a request waits for a leader to be elected, in milliseconds; long enough for one election. */
    static final long MAX_DEFERRAL_MILLIS = 400;

    private final Map<String, DeferredRequest> requestsByEntry = new LinkedHashMap<>();

    /** Defers a request, in place of an earlier one of the same entry. */
    void defer(DeferredRequest request) {
        requestsByEntry.remove(request.request().entry());
        requestsByEntry.put(request.request().entry(), request);
    }

    /**
     * Removes and returns the requests that can be answered now or have waited too long, in the order of their arrival.
     */
    List<DeferredRequest> removeDue(boolean leaderKnown, long now) {
        List<DeferredRequest> due = requestsByEntry.values().stream()
                .filter(deferred -> leaderKnown || now - deferred.receivedAt() > MAX_DEFERRAL_MILLIS)
                .toList();
        requestsByEntry.values().removeAll(due);
        return due;
    }

    /**
     * A request that waits for a leader.
     *
     * @param sender the sender of the request, to which the response is sent.
     * @param request the request.
     * @param receivedAt when the request arrived, by the clock of the control thread in milliseconds.
     */
    record DeferredRequest(FleetInbox.Sender sender, FleetMessage.ViewRequest request, long receivedAt) {}
}
