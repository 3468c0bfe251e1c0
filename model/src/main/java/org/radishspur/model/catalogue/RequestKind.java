package org.radishspur.model.catalogue;

/**
 * Says what may be repeated of the requests of a route.
 */
public enum RequestKind {
    /** A call without effects, which may run more than once. */
    SAFE(true),
    /** A call with effects, which may run once at most. */
    UNSAFE(false),
    /** A generation whose answer is a series of events. */
    STREAM(false);

    private final boolean repeatable;

    RequestKind(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Returns whether a request of this kind may be sent to another upstream although it may have run already.
     *
     * @param resumable whether the route lets a stream be resumed.
     * @return whether it may run more than once.
     */
    public boolean mayRepeat(boolean resumable) {
        return repeatable || this == STREAM && resumable;
    }
}
