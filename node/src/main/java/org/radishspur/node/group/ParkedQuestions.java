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
final class ParkedQuestions {
    /** How long a question waits for a leader to be elected, in milliseconds; one election fits into it. */
    static final long PARKED_MILLIS = 400;

    private final Map<String, Parked> questions = new LinkedHashMap<>();

    /** Keeps a question in place of an earlier one of the same entry. */
    void park(Parked question) {
        questions.remove(question.question().entry());
        questions.put(question.question().entry(), question);
    }

    /** Takes out the questions that can be answered now, or that have waited too long, in the order of their coming. */
    List<Parked> due(boolean leaderKnown, long now) {
        List<Parked> due = questions.values().stream()
                .filter(question -> leaderKnown || now - question.askedAt() > PARKED_MILLIS)
                .toList();
        questions.values().removeAll(due);
        return due;
    }

    /**
     * Holds one question.
     *
     * @param sender where the answer goes.
     * @param question the question.
     * @param askedAt when it came, by the clock of the control thread.
     */
    record Parked(FleetInbox.Sender sender, FleetMessage.Follow question, long askedAt) {}
}
