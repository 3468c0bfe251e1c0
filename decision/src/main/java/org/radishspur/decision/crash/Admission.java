package org.radishspur.decision.crash;

/**
 * The decision whether a request may run although its signatures may end upstreams.
 *
 * @param verdict the decision.
 * @param retryAfterMillis the time after which a request with the suspected signature may run, in milliseconds; 0 unless
 *     the request is refused.
 * @param suspect the suspected signature; 0 if there is none.
 * @param ends the number of upstreams that have ended under it.
 */
public record Admission(Verdict verdict, long retryAfterMillis, long suspect, int ends) {
    /** The decision on a request without a suspected signature. */
    public static final Admission ALLOWED = new Admission(Verdict.ALLOWED, 0, 0, 0);

    /**
     * Returns whether the request must not run.
     *
     * @return whether it is refused.
     */
    public boolean isRefused() {
        return verdict == Verdict.REFUSED;
    }

    /** Lists the decisions. */
    public enum Verdict {
        /** The request may run. */
        ALLOWED,
        /** The request may run, as the only one with the suspected signature, to find out whether it is answered. */
        TRIAL,
        /** The request must not run. */
        REFUSED
    }
}
