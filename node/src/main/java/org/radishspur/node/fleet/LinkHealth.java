package org.radishspur.node.fleet;

/**
 * Decides when a connection is pinged, and when it is dead.
 *
 * <p>Guards against a connection that falls silent for good without a reset. Most connections of a host are idle, kept in case
 * that another control host is lost; they are pinged seldom, as their pings would be most of what an idle host does.
 */
final class LinkHealth {
    /** So long after a ping that was not answered the connection is dead, in milliseconds. */
    static final long ANSWER_MILLIS = 1_000;

    /** A link in use is pinged after so much silence, in milliseconds. */
    static final long SILENCE_MILLIS = 150;

    /** The same for an idle link, in milliseconds; the other end gives the link up after twice as much. */
    static final long IDLE_SILENCE_MILLIS = 2_000;

    /** A link over which nothing was sent for so long is idle, in milliseconds. */
    static final long USE_MILLIS = 2_000;

    private volatile long receivedAt;
    private volatile long usedAt;
    private volatile boolean pinged;
    private long pingedAt;

    /** Notes that the connection was made. */
    void opened(long now) {
        receivedAt = now;
        usedAt = now;
        pinged = false;
    }

    /** Notes that something has come. */
    void received(long now) {
        receivedAt = now;
        pinged = false;
    }

    /** Notes that something other than a ping was sent. */
    void used(long now) {
        usedAt = now;
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
    Care due(boolean attended, long now) {
        if (pinged && now - pingedAt > ANSWER_MILLIS) {
            return Care.RENEW;
        }
        boolean inUse = attended || now - usedAt < USE_MILLIS;
        if (silentMillis(now) < (inUse ? SILENCE_MILLIS : IDLE_SILENCE_MILLIS)) {
            return Care.NONE;
        }
        if (!pinged) {
            pinged = true;
            pingedAt = now;
        }
        return Care.PING;
    }

    /** Says what a link needs. */
    enum Care {
        /** Nothing. */
        NONE,
        /** A ping. */
        PING,
        /** Another connection. */
        RENEW
    }
}
