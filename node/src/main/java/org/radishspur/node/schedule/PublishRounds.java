package org.radishspur.node.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Decides when the next report to the peers is due and whether it is a full one, and keeps the values that were last
 * published.
 */
final class PublishRounds {
    /** The interval between full reports, which carry unchanged values as well, in milliseconds. */
    private static final long FULL_REPORT_MILLIS = 320;

    /** The minimum number of rounds from one full report to the next; it stretches the interval if rounds are rare. */
    private static final int MIN_ROUNDS_PER_FULL_REPORT = 4;

    /** The number of rounds without a report after which a peer may be considered lost. */
    private static final int PEER_TIMEOUT_ROUNDS = 5;

    private final long tickMillis;
    private final int messagesPerSecond;
    private final Map<Integer, int[]> publishedUpstreams = new HashMap<>();
    private final Map<String, Long> publishedUsage = new HashMap<>();
    private final Map<String, Long> publishedWaitingUsage = new HashMap<>();
    private List<String> peers = List.of();
    private long nextRoundAt;
    private int roundsSinceFullReport;

    /**
     * Creates rounds without peers.
     *
     * @param tickMillis the period of the caller's timer and the minimum time between two rounds, in milliseconds.
     * @param messagesPerSecond the maximum number of messages that all peers together get each second.
     */
    PublishRounds(long tickMillis, int messagesPerSecond) {
        this.tickMillis = tickMillis;
        this.messagesPerSecond = messagesPerSecond;
    }

    void setPeers(List<String> addresses) {
        peers = addresses;
    }

    List<String> peers() {
        return peers;
    }

    /** Returns the time between two rounds in milliseconds, a whole number of timer periods. */
    long roundMillis() {
        long neededMillis = peers.size() * 1_000L / messagesPerSecond;
        long ticks = Math.max(1, (neededMillis + tickMillis - 1) / tickMillis);
        return ticks * tickMillis;
    }

    /**
     * Returns the time without a report after which a peer is considered lost, given that it publishes as often as this
     * host.
     */
    long peerTimeoutMillis(long minMillis) {
        return Math.max(minMillis, PEER_TIMEOUT_ROUNDS * roundMillis());
    }

    /** Begins a round if one is due, and returns whether it did. */
    boolean beginRound(long now) {
        if (now < nextRoundAt || peers.isEmpty()) {
            return false;
        }
        // The timer may fire a little early or late; a round is not skipped for half a timer period.
        nextRoundAt = now + roundMillis() - tickMillis / 2;
        roundsSinceFullReport++;
        return true;
    }

    /**
     * Returns whether this round is a full report; if so, the rounds until the next full report are counted from here.
     */
    boolean beginFullReport() {
        long rounds = Math.max(MIN_ROUNDS_PER_FULL_REPORT, FULL_REPORT_MILLIS / roundMillis());
        boolean full = roundsSinceFullReport >= rounds;
        roundsSinceFullReport = full ? 0 : roundsSinceFullReport;
        return full;
    }

    Map<Integer, int[]> publishedUpstreams() {
        return publishedUpstreams;
    }

    /**
     * Returns the usage of those organisations for which it, or the waiting part of it, differs from the last published
     * value.
     */
    Map<String, Long> changedUsage(Map<String, Long> usage, Map<String, Long> waiting) {
        Map<String, Long> changed = new HashMap<>();
        usage.forEach((name, total) -> {
            if (!total.equals(publishedUsage.get(name))
                    || !Objects.equals(waiting.get(name), publishedWaitingUsage.get(name))) {
                changed.put(name, total);
            }
        });
        return changed;
    }

    void recordPublished(Map<Integer, int[]> counts, Map<String, Long> usage, Map<String, Long> waiting) {
        publishedUpstreams.clear();
        publishedUpstreams.putAll(counts);
        publishedUsage.clear();
        publishedUsage.putAll(usage);
        publishedWaitingUsage.clear();
        publishedWaitingUsage.putAll(waiting);
    }
}
