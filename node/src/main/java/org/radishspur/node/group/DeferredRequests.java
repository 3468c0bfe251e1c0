package org.radishspur.node.group;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetMessage;

/**
 * Keeps the questions of entries that come while no leader is known.
 *
 * <p>Guards against a longer outage after all replicas have restarted: the first round of messages of the new leader
 * confirms what was asked before it, instead of a round that entries ask for later; they ask every 80 ms, and a round takes
 * up to 60 ms more.
 */
final class DeferredRequests {
    /** How long a question waits for a leader to be elected, in milliseconds; one election fits into it. */
    static final long MAX_DEFERRAL_MILLIS = 400;

    private final Map<String, DeferredRequest> requestsByEntry = new LinkedHashMap<>();

    /** Keeps a question in place of an earlier one of the same entry. */
    void defer(DeferredRequest question) {
        requestsByEntry.remove(question.request().entry());
        requestsByEntry.put(question.request().entry(), question);
    }

    /** Takes out the questions that can be answered now, or that have waited too long, in the order of their coming. */
    List<DeferredRequest> removeDue(boolean leaderKnown, long now) {
        List<DeferredRequest> due = requestsByEntry.values().stream()
                .filter(question -> leaderKnown || now - question.receivedAt() > MAX_DEFERRAL_MILLIS)
                .toList();
        requestsByEntry.values().removeAll(due);
        return due;
    }

    /**
     * Holds one question.
     *
     * @param sender where the answer goes.
     * @param request the question.
     * @param receivedAt when it came, by the clock of the control thread.
     */
    record DeferredRequest(FleetInbox.Sender sender, FleetMessage.ViewRequest request, long receivedAt) {}
}
