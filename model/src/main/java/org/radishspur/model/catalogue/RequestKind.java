package org.radishspur.model.catalogue;

/**
 * Classifies the requests of a route by whether they may be retried after an upstream may have run them.
 */
public enum RequestKind {
    /** A call without side effects, which may run more than once. */
    SAFE(true),
    /** A call with side effects, which may run at most once. */
    UNSAFE(false),
    /** A generation whose response is a stream of events; it may be retried only where the stream can be resumed. */
    STREAM(false);

    private final boolean repeatable;

    RequestKind(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Returns whether a request of this kind may be sent to another upstream although it may have run already.
     *
     * @param resumable whether the route allows another upstream to resume a broken stream.
     * @return whether the request may run more than once.
     */
    public boolean isRepeatable(boolean resumable) {
        return repeatable || this == STREAM && resumable;
    }
}
