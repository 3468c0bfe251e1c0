package org.radishspur.decision.dispatch;

import java.util.Arrays;

import org.radishspur.model.catalogue.ColdStart;

/**
 * Decides whether an upstream is cold, and bounds how many requests begin there within one second.
 *
 * <p>Guards against an upstream that crashes again as soon as it is back, since everybody sends to the one that is empty.
 */
final class ColdStartLimit {
    private static final long SECOND_MILLIS = 1_000;

    private final ColdStart rule;
    private final long[] recentSendTimes;
    private int nextIndex;
    private long possiblyColdUntil = Long.MIN_VALUE / 2;

    /**
     * Creates the limit of an upstream that is warm.
     *
     * @param rule what upstreams of the pool bear.
     */
    ColdStartLimit(ColdStart rule) {
        this.rule = rule;
        recentSendTimes = new long[rule.isLimited() ? Math.max(1, (int) rule.requestsPerSecond()) : 0];
        Arrays.fill(recentSendTimes, Long.MIN_VALUE / 2);
    }

    /** Notes that the upstream may have become cold just now. */
    void recordPossibleRestart(long now) {
        possiblyColdUntil = Math.max(possiblyColdUntil, now + rule.millis());
    }

    /** Notes that a request is sent. */
    void recordSent(long now) {
        if (rule.isLimited()) {
            recentSendTimes[nextIndex] = now;
            nextIndex = (nextIndex + 1) % recentSendTimes.length;
        }
    }

    /** Returns whether the upstream may still be cold, whatever the host list says. */
    boolean mayBeCold(long now) {
        return rule.isLimited() && now < possiblyColdUntil;
    }

    /** Returns whether upstreams of the pool may be cold at all. */
    boolean isLimited() {
        return rule.isLimited();
    }

    /** Returns whether one more request stays within what a cold upstream bears. */
    boolean allows(long now) {
        return !rule.isLimited() || now - recentSendTimes[nextIndex] >= SECOND_MILLIS;
    }
}
