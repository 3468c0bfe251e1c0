package org.radishspur.node.fleet;

/**
 * Decides when a ping is sent over a connection, and when the connection is replaced.
 *
 * <p>Guards against a connection that stops delivering messages without a reset. Most connections of a host are idle
 * and kept only in case another control host is lost. They get few pings, which would otherwise be most of the work of
 * an idle host.
 */
final class LinkHealth {
    /** The time after an unanswered ping at which the connection is replaced, in milliseconds. */
    static final long PING_TIMEOUT_MILLIS = 1_000;

    /** The time without a message after which a ping is sent over a link in use, in milliseconds. */
    static final long PING_AFTER_MILLIS = 150;

    /** The same for an idle link, in milliseconds; the other end closes the link after more than twice this time. */
    static final long IDLE_PING_AFTER_MILLIS = 2_000;

    /** The time since a message other than a ping was sent after which a link is idle, in milliseconds. */
    static final long IDLE_AFTER_MILLIS = 2_000;

    private volatile long receivedAt;
    private volatile long answeredAt = Long.MIN_VALUE;
    private volatile long sentAt;
    private volatile boolean awaitingAnswer;
    private long pingSentAt;

    /** Records that the connection was opened. */
    void onOpened(long now) {
        receivedAt = now;
        sentAt = now;
        awaitingAnswer = false;
    }

    /** Records that a message was received; any message counts as the response to a pending ping. */
    void onReceived(long now) {
        receivedAt = now;
        answeredAt = now;
        awaitingAnswer = false;
    }

    /** Returns when the last message was received over any connection, a very early time if none was. */
    long answeredAt() {
        return answeredAt;
    }

    /** Records that a message other than a ping was sent. */
    void onSent(long now) {
        sentAt = now;
    }

    long silentMillis(long now) {
        return now - receivedAt;
    }

    /**
     * Returns the action that is due now. The caller must send each ping that this method requests.
     *
     * @param watched whether the link counts as in use even while nothing is sent over it.
     * @param now the monotonic clock in milliseconds.
     */
    Action nextAction(boolean watched, long now) {
        if (awaitingAnswer && now - pingSentAt > PING_TIMEOUT_MILLIS) {
            return Action.RECONNECT;
        }
        boolean inUse = watched || now - sentAt < IDLE_AFTER_MILLIS;
        if (silentMillis(now) < (inUse ? PING_AFTER_MILLIS : IDLE_PING_AFTER_MILLIS)) {
            return Action.NONE;
        }
        if (!awaitingAnswer) {
            awaitingAnswer = true;
            pingSentAt = now;
        }
        return Action.PING;
    }

    /** An action for a link. */
    enum Action {
        /** Do nothing. */
        NONE,
        /** Send a ping. */
        PING,
        /** Close the connection and open another one. */
        RECONNECT
    }
}
