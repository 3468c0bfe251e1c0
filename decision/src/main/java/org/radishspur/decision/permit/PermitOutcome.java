package org.radishspur.decision.permit;

/**
 * The outcome of the attempt that a permit was granted for.
 *
 * @param ending how the attempt ended.
 * @param firstTokenMicros the time from dispatch to the first byte of the answer, or 0 where none was received.
 * @param totalMicros the time from dispatch to the end.
 * @param outputTokens the number of tokens in the answer.
 */
public record PermitOutcome(Ending ending, long firstTokenMicros, long totalMicros, int outputTokens) {

    /**
     * The ways in which an attempt ends.
     */
    public enum Ending {
        /** The upstream sent its complete answer. */
        ANSWERED,
        /** The upstream answered with an error of its own. */
        FAILED,
        /** The upstream did not admit the request. */
        NOT_ADMITTED,
        /** The upstream did not admit the request because it is draining. */
        DRAINING,
        /** No connection to the upstream could be made. */
        UNREACHABLE,
        /** The connection was lost while the request was in flight. */
        CONNECTION_LOST,
        /** The deadline passed while the upstream sent nothing, for longer than the time allowed. */
        TIMED_OUT,
        /** The request was cancelled because the caller disconnected or the deadline passed. */
        CANCELLED,
        /** The permit was not used. */
        UNUSED;

        /**
         * Returns whether the ending counts as a failure of the upstream in its health checks.
         *
         * @return whether it counts as a failure.
         */
        public boolean isFailure() {
            return this == FAILED || this == UNREACHABLE || this == CONNECTION_LOST || this == TIMED_OUT;
        }
    }

    /**
     * Creates the outcome of an attempt without times or token counts; these are set to 0.
     *
     * @param ending how the attempt ended.
     * @return the outcome.
     */
    public static PermitOutcome of(Ending ending) {
        return new PermitOutcome(ending, 0, 0, 0);
    }
}
