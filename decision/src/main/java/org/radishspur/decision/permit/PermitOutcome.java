package org.radishspur.decision.permit;

/**
 * Tells how a permit was used.
 *
 * @param ending how the attempt ended.
 * @param firstTokenMicros the time from dispatch to the first byte of the answer, or 0 where none came.
 * @param totalMicros the time from dispatch to the end.
 * @param outputTokens the number of tokens in the answer.
 */
public record PermitOutcome(Ending ending, long firstTokenMicros, long totalMicros, int outputTokens) {

    /**
     * Names the ways in which an attempt ends.
     */
    public enum Ending {
        /** The upstream answered to the end. */
        ANSWERED,
        /** The upstream answered, but with a failure of its own. */
        FAILED,
        /** The upstream did not admit the request. */
        NOT_ADMITTED,
        /** The upstream did not admit the request because it is draining. */
        DRAINING,
        /** No connection to the upstream could be made. */
        UNREACHABLE,
        /** The connection broke while the request was in flight. */
        CONNECTION_LOST,
        /** The upstream stayed silent for too long. */
        TIMED_OUT,
        /** The caller went away, or the deadline passed, and the request was cancelled. */
        CANCELLED,
        /** The permit was not used. */
        UNUSED;

        /**
         * Returns whether the ending speaks against the health of the upstream.
         *
         * @return whether it counts as a failure of the upstream.
         */
        public boolean isFailure() {
            return this == FAILED || this == UNREACHABLE || this == CONNECTION_LOST || this == TIMED_OUT;
        }
    }

    /**
     * Creates the outcome of an attempt that has no measures worth learning from.
     *
     * @param ending how the attempt ended.
     * @return the outcome.
     */
    public static PermitOutcome of(Ending ending) {
        return new PermitOutcome(ending, 0, 0, 0);
    }
}
