package org.radishspur.decision.upstream;

/**
 * Spaces the requests to an upstream that turns them away. A refusal frees its slot within a millisecond, so that such an
 * upstream would look like the one with most room and draw the requests that others would serve.
 */
public final class RefusalBackoff {
    /** The backoff after the second refusal in a row, in milliseconds; it doubles with each further one. */
    private static final long MIN_BACKOFF_MILLIS = 50;

    /** The maximum backoff, in milliseconds; an upstream that takes requests again is found within it. */
    private static final long MAX_BACKOFF_MILLIS = 1_600;

    private static final int MAX_DOUBLINGS = 5;

    /** The number of refusals in a row from which one request at a time tests whether the upstream takes any. */
    private static final int REFUSALS_BEFORE_TESTS = 3;

    /** Refusals of requests that were on their way together count as one. */
    private final EventGroup group = new EventGroup();

    private int refusals;
    private long until = Long.MIN_VALUE / 2;

    /**
     * Records that the upstream turned a request away.
     *
     * @param now the current time in milliseconds.
     */
    public void recordRefusal(long now) {
        if (group.add(now)) {
            refusals++;
        }
        if (refusals > 1) {
            until = now + Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(MAX_DOUBLINGS, refusals - 2));
        }
    }

    /** Records that the upstream has run a request. */
    public void recordRun() {
        refusals = 0;
    }

    /**
     * Returns until when the upstream gets no request.
     *
     * @return the time in milliseconds, which is in the past where it may get one now.
     */
    public long until() {
        return until;
    }

    /**
     * Returns whether the upstream may get one request only, to test whether it takes any.
     *
     * @return whether it has turned away several requests in a row.
     */
    public boolean isTesting() {
        return refusals >= REFUSALS_BEFORE_TESTS;
    }
}
