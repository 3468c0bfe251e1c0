package org.radishspur.decision.dispatch;

import java.util.Arrays;

import org.radishspur.model.catalogue.ColdStart;

/**
 * Decides whether an upstream is cold, and bounds how many requests begin there within one second.
 *
 * <p>Guards against an upstream that crashes again as soon as it is back, since everybody sends to the one that is empty.
 */
final class ColdLimit {
    private static final long SECOND_MILLIS = 1_000;

    private final ColdStart rule;
    private final long[] latest;
    private int next;
    private long until = Long.MIN_VALUE / 2;

    /**
     * Creates the limit of an upstream that is warm.
     *
     * @param rule what upstreams of the pool bear.
     */
    ColdLimit(ColdStart rule) {
        this.rule = rule;
        latest = new long[rule.isLimited() ? Math.max(1, (int) rule.requestsPerSecond()) : 0];
        Arrays.fill(latest, Long.MIN_VALUE / 2);
    }

    /** Notes that the upstream may have become cold just now. */
    void mayHaveStarted(long now) {
        until = Math.max(until, now + rule.millis());
    }

    /** Notes that a request is sent. */
    void began(long now) {
        if (rule.isLimited()) {
            latest[next] = now;
            next = (next + 1) % latest.length;
        }
    }

    /** Returns whether the upstream may still be cold, whatever the host list says. */
    boolean isSuspected(long now) {
        return rule.isLimited() && now < until;
    }

    /** Returns whether upstreams of the pool may be cold at all. */
    boolean isLimited() {
        return rule.isLimited();
    }

    /** Returns whether one more request stays within what a cold upstream bears. */
    boolean allows(long now) {
        return !rule.isLimited() || now - latest[next] >= SECOND_MILLIS;
    }
}
