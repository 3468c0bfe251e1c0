package org.radishspur.node.fleet;

/**
 * Decides when a connection is pinged, and when it is dead.
 *
 * <p>Guards against a connection that falls silent for good without a reset. Most connections of a host are idle, kept in case
 * that another control host is lost; they are pinged seldom, as their pings would be most of what an idle host does.
 */
final class LinkHealth {
    /** So long after a ping that was not answered the connection is dead, in milliseconds. */
    static final long PING_TIMEOUT_MILLIS = 1_000;

    /** A link in use is pinged after so much silence, in milliseconds. */
    static final long PING_AFTER_MILLIS = 150;

    /** The same for an idle link, in milliseconds; the other end gives the link up after twice as much. */
    static final long IDLE_PING_AFTER_MILLIS = 2_000;

    /** A link over which nothing was sent for so long is idle, in milliseconds. */
    static final long IDLE_AFTER_MILLIS = 2_000;

    private volatile long receivedAt;
    private volatile long sentAt;
    private volatile boolean awaitingAnswer;
    private long pingSentAt;

    /** Notes that the connection was made. */
    void onOpened(long now) {
        receivedAt = now;
        sentAt = now;
        awaitingAnswer = false;
    }

    /** Notes that something has come. */
    void onReceived(long now) {
        receivedAt = now;
        awaitingAnswer = false;
    }

    /** Notes that something other than a ping was sent. */
    void onSent(long now) {
        sentAt = now;
    }

    long silentMillis(long now) {
        return now - receivedAt;
    }

    /**
     * Says what is to be done now. A ping that it asks for is taken for sent.
     *
     * @param attended whether the link is needed even while nothing is sent over it.
     * @param now the clock in milliseconds.
     */
    Action nextAction(boolean attended, long now) {
        if (awaitingAnswer && now - pingSentAt > PING_TIMEOUT_MILLIS) {
            return Action.RECONNECT;
        }
        boolean inUse = attended || now - sentAt < IDLE_AFTER_MILLIS;
        if (silentMillis(now) < (inUse ? PING_AFTER_MILLIS : IDLE_PING_AFTER_MILLIS)) {
            return Action.NONE;
        }
        if (!awaitingAnswer) {
            awaitingAnswer = true;
            pingSentAt = now;
        }
        return Action.PING;
    }

    /** Says what a link needs. */
    enum Action {
        /** Nothing. */
        NONE,
        /** A ping. */
        PING,
        /** Another connection. */
        RECONNECT
    }
}
