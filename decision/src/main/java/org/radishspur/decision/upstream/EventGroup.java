package org.radishspur.decision.upstream;

/**
 * Groups events that are so close to each other that they may have one cause, such as the connections that one reset
 * breaks. A group ends some time after its first event, so that events that go on are counted again and again.
 */
public final class EventGroup {
    private static final long LENGTH_MILLIS = 50;

    private long beganAt = Long.MIN_VALUE / 2;

    /**
     * Adds an event, which begins the next group if the previous one has ended.
     *
     * @param now the current time in milliseconds.
     * @return whether the event is the first of its group.
     */
    public boolean add(long now) {
        boolean isFirst = hasEnded(now);
        if (isFirst) {
            beganAt = now;
        }
        return isFirst;
    }

    /**
     * Returns whether an event at this time would be the first of a group.
     *
     * @param now the current time in milliseconds.
     * @return whether the last group has ended.
     */
    public boolean hasEnded(long now) {
        return now - beganAt > LENGTH_MILLIS;
    }
}
