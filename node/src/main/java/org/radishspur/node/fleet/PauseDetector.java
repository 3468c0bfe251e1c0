package org.radishspur.node.fleet;

/**
 * Detects by a timer of a thread that the thread has stood still, so that messages which arrived meanwhile may still be
 * unread. Others then only seem silent.
 */
public final class PauseDetector {
    /** The delay of the timer from which on the thread counts as paused, in milliseconds. */
    static final long MIN_PAUSE_MILLIS = 50;

    private final long intervalMillis;
    private long dueAt = Long.MAX_VALUE / 2;
    private long unreadUntil = Long.MIN_VALUE;
    private boolean skipped;

    /**
     * Creates a detector whose timer hasn't been started.
     *
     * @param intervalMillis the interval of the timer, in milliseconds.
     */
    public PauseDetector(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /**
     * Records that the timer is started and will fire after its interval.
     *
     * @param now the monotonic clock in milliseconds.
     */
    public void onStarted(long now) {
        dueAt = now + intervalMillis;
    }

    /**
     * Records that the timer fires, and returns whether messages may be unread because the thread was paused. That is so
     * for one interval at most, as a thread that is always late reads messages all the same.
     *
     * @param now the monotonic clock in milliseconds.
     * @return whether the silence of others shows nothing yet.
     */
    public boolean onFired(long now) {
        boolean late = now - dueAt > MIN_PAUSE_MILLIS;
        onStarted(now);
        if (now < unreadUntil) {
            return true;
        }
        skipped = late && !skipped;
        unreadUntil = skipped ? now + intervalMillis : unreadUntil;
        return skipped;
    }
}
