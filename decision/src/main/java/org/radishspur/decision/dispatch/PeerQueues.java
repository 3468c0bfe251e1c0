package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides how many slots of a pool a request leaves free for more urgent ones that wait at other schedulers, the peers.
 *
 * <p>Each scheduler grants by itself, so that no request waits for a permit of a peer. A slot that is left free is all
 * that passes between them: the peer sees it and grants it. As many slots are left beyond the usual reserve as more
 * urgent requests wait at peers, within a bound. A peer that reports nothing, or whose report is old, changes nothing.
 */
public final class PeerQueues {
    /**
     * Maximum share of the slots that are left beyond the usual reserve. It is as much as a request leaves for each tier
     * before its own.
     */
    private static final double MAX_EXTRA_SHARE = 0.04;

    /** Interval between reports until it is set, in milliseconds. */
    private static final long DEFAULT_REPORT_MILLIS = 40;

    /**
     * Number of intervals between reports for which a report counts, and for which slots are left that nobody takes. In
     * it the peer learns of the slots, grants them and reports that.
     */
    private static final int MAX_INTERVALS = 3;

    /** Number of times as long for which no slots are left after nobody has taken them; they are idle a third at most. */
    private static final int PAUSE_FACTOR = 2;

    private final Map<String, Report> reports = new HashMap<>();
    private long maxMillis = DEFAULT_REPORT_MILLIS * MAX_INTERVALS;
    private final Map<Integer, LeftSlots> leftByUrgency = new HashMap<>();

    /** Creates an instance without reports. */
    PeerQueues() {}

    /**
     * Sets the interval between reports.
     *
     * @param millis the interval in milliseconds.
     */
    public void setReportMillis(long millis) {
        maxMillis = millis * MAX_INTERVALS;
    }

    /**
     * Records what a peer reports.
     *
     * @param peer the incarnation of the peer.
     * @param waiting the requests that wait there.
     * @param now the current time in milliseconds.
     */
    public void record(String peer, WaitingCounts waiting, long now) {
        if (waiting.isEmpty()) {
            reports.remove(peer);
        } else {
            reports.put(peer, new Report(waiting, now));
        }
    }

    /**
     * Records that the requests that wait at a peer are the same as in its latest report.
     *
     * @param peer the incarnation of the peer.
     * @param now the current time in milliseconds.
     */
    public void confirm(String peer, long now) {
        reports.computeIfPresent(peer, (key, report) -> new Report(report.waiting, now));
    }

    /** Returns how many requests more urgent than another one wait at peers, as far as they have reported it lately. */
    int waitingBefore(QueuedRequest queued, long now) {
        if (reports.isEmpty()) {
            return 0;
        }
        reports.values().removeIf(report -> now - report.receivedAt > maxMillis);
        return reports.values().stream()
                .mapToInt(report -> report.waiting.moreUrgentThan(queued))
                .sum();
    }

    /**
     * Returns which share of the slots a request leaves free for those that wait at peers, beyond its usual reserve.
     *
     * @param queued the request.
     * @param waiting how many more urgent requests wait at peers.
     * @param usual the share that the request leaves free anyway.
     * @param freeShare the share of the slots that are free.
     * @param slots the number of slots.
     * @param now the current time in milliseconds.
     */
    double extraShare(QueuedRequest queued, int waiting, double usual, double freeShare, int slots, long now) {
        if (waiting == 0 || slots == 0) {
            return 0;
        }
        double extra = Math.min(MAX_EXTRA_SHARE, (double) waiting / slots);
        boolean left = freeShare > usual && freeShare <= usual + extra;
        return leftByUrgency
                        .computeIfAbsent(WaitingCounts.urgencyOf(queued), key -> new LeftSlots())
                        .mayLeave(left, maxMillis, now)
                ? extra
                : 0;
    }

    /**
     * Holds the latest report of a peer.
     *
     * @param waiting the requests that wait there.
     * @param receivedAt when the peer reported or confirmed it.
     */
    private record Report(WaitingCounts waiting, long receivedAt) {}

    /**
     * Bounds the time for which requests of one urgency leave slots that nobody takes. Requests may wait at a peer that
     * has no use for the slots, such as one whose requests may not run there.
     */
    private static final class LeftSlots {
        private long since;
        private long lastAt = Long.MIN_VALUE / 2;
        private long pausedUntil = Long.MIN_VALUE;

        boolean mayLeave(boolean left, long maxMillis, long now) {
            if (now < pausedUntil) {
                return false;
            }
            if (!left) {
                lastAt = Long.MIN_VALUE / 2;
                return true;
            }
            since = now - lastAt > maxMillis ? now : since;
            lastAt = now;
            if (now - since <= maxMillis) {
                return true;
            }
            pausedUntil = now + PAUSE_FACTOR * maxMillis;
            lastAt = Long.MIN_VALUE / 2;
            return false;
        }
    }
}
