package org.radishspur.node.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps what was published to a group of peers, and when the next round is due.
 */
final class PublishRounds {
    /** Everything is published again after this time, also where nothing has changed, in milliseconds. */
    private static final long FULL_REPORT_MILLIS = 320;

    /** So many rounds at least bring only changes before everything is published again. */
    private static final int MIN_ROUNDS_PER_FULL_REPORT = 4;

    /** A scheduler is not taken for lost before it has been silent for so many rounds. */
    private static final int PEER_TIMEOUT_ROUNDS = 5;

    private final long tickMillis;
    private final int messagesPerSecond;
    private final Map<Integer, int[]> publishedUpstreams = new HashMap<>();
    private final Map<String, Long> publishedUsage = new HashMap<>();
    private List<String> peers = List.of();
    private long nextRoundAt;
    private int roundsSinceFullReport;

    /**
     * Creates rounds for no peers.
     *
     * @param stepMillis the step of the timer, and the shortest time between two rounds, in milliseconds.
     * @param messagesPerSecond how many messages a second all peers together may get.
     */
    PublishRounds(long stepMillis, int messagesPerSecond) {
        this.tickMillis = stepMillis;
        this.messagesPerSecond = messagesPerSecond;
    }

    void peers(List<String> live) {
        peers = live;
    }

    List<String> peers() {
        return peers;
    }

    /** Returns the time between two rounds, in whole steps of the timer. */
    long roundMillis() {
        long needed = peers.size() * 1_000L / messagesPerSecond;
        long steps = Math.max(1, (needed + tickMillis - 1) / tickMillis);
        return steps * tickMillis;
    }

    /** Returns after how long a silence a peer is taken for lost, which publishes as often as this one does. */
    long peerTimeoutMillis(long leastMillis) {
        return Math.max(leastMillis, PEER_TIMEOUT_ROUNDS * roundMillis());
    }

    /** Begins a round if one is due. */
    boolean beginRound(long now) {
        if (now < nextRoundAt || peers.isEmpty()) {
            return false;
        }
        // The timer fires a little early or late; half a step of it is no reason to leave a round out.
        nextRoundAt = now + roundMillis() - tickMillis / 2;
        roundsSinceFullReport++;
        return true;
    }

    /** Returns whether everything is to be published in this round, and counts from here if so. */
    boolean beginFullReport() {
        long rounds = Math.max(MIN_ROUNDS_PER_FULL_REPORT, FULL_REPORT_MILLIS / roundMillis());
        boolean whole = roundsSinceFullReport >= rounds;
        roundsSinceFullReport = whole ? 0 : roundsSinceFullReport;
        return whole;
    }

    Map<Integer, int[]> publishedUpstreams() {
        return publishedUpstreams;
    }

    /** Returns what organisations have used that the group was not told yet. */
    Map<String, Long> changedUsage(Map<String, Long> used) {
        Map<String, Long> changed = new HashMap<>();
        used.forEach((name, total) -> {
            if (!total.equals(publishedUsage.get(name))) {
                changed.put(name, total);
            }
        });
        return changed;
    }

    void recordPublished(Map<Integer, int[]> present, Map<String, Long> used) {
        publishedUpstreams.clear();
        publishedUpstreams.putAll(present);
        publishedUsage.clear();
        publishedUsage.putAll(used);
    }
}
