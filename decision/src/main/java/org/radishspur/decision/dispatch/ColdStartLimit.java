package org.radishspur.decision.dispatch;

import java.util.Arrays;

import org.radishspur.model.catalogue.ColdStart;

/**
 * Tracks whether an upstream may be cold, and limits how many requests are sent to a cold one within one second.
 *
 * <p>Guards against an upstream that crashes again right after a restart: it is empty, so that all schedulers would
 * send to it at the same time.
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
     * @param rule the cold start limit of the pool.
     */
    ColdStartLimit(ColdStart rule) {
        this.rule = rule;
        recentSendTimes = new long[rule.isLimited() ? Math.max(1, (int) rule.requestsPerSecond()) : 0];
        Arrays.fill(recentSendTimes, Long.MIN_VALUE / 2);
    }

    /** Records that the upstream may have just restarted, and so may be cold. */
    void recordPossibleRestart(long now) {
        possiblyColdUntil = Math.max(possiblyColdUntil, now + rule.durationMillis());
    }

    /** Records that a request was sent. */
    void recordSent(long now) {
        if (rule.isLimited()) {
            recentSendTimes[nextIndex] = now;
            nextIndex = (nextIndex + 1) % recentSendTimes.length;
        }
    }

    /** Returns whether a recent possible restart means that the upstream may be cold, whatever the host list states. */
    boolean mayBeCold(long now) {
        return rule.isLimited() && now < possiblyColdUntil;
    }

    /** Returns whether the pool has a cold start limit. */
    boolean isLimited() {
        return rule.isLimited();
    }

    /** Returns whether one more request stays within the rate that a cold upstream can serve. */
    boolean allows(long now) {
        return !rule.isLimited() || now - recentSendTimes[nextIndex] >= SECOND_MILLIS;
    }
}
