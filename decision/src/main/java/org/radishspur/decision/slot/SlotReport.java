package org.radishspur.decision.slot;

import java.util.Optional;

import org.radishspur.model.catalogue.RequestLimit;

/**
 * A report of an entry to its scheduler about a slot that it holds or a request that it has queued.
 */
public sealed interface SlotReport {
    /**
     * Reports that the first byte of the answer was received.
     *
     * @param elapsedMillis the time since the request was sent, in milliseconds.
     * @param limit what the answer stated about the upstream's limit; empty if an older build sent the report.
     * @param leaving whether the answer said that the upstream leaves.
     */
    record FirstByte(long elapsedMillis, Optional<RequestLimit> limit, boolean leaving) implements SlotReport {
        /**
         * Creates a report that states nothing about a limit.
         *
         * @param elapsedMillis the time since the request was sent, in milliseconds.
         */
        public FirstByte(long elapsedMillis) {
            this(elapsedMillis, Optional.empty(), false);
        }
    }

    /**
     * Reports the time for one event while the answer is still being streamed. It is sent if the speed of the upstream
     * is still unknown to the scheduler.
     *
     * @param eventMillis the time for one event, in milliseconds.
     */
    record FirstEventTime(double eventMillis) implements SlotReport {}

    /**
     * Reports that the attempt has ended and the slot is free, or that a queued request is withdrawn.
     *
     * @param outcome how the attempt ended.
     * @param heldMillis the time for which the slot was held, in milliseconds.
     * @param eventMillis the time for one event, or for the complete answer of a plain call, in milliseconds; 0 if it
     *     wasn't measured.
     * @param events the number of events of a complete stream; 0 if it doesn't indicate the usual length of answers.
     * @param expectedTokens the number of output tokens that the caller had expected.
     * @param limit what the answer stated about the upstream's limit; empty if there was no answer or if a
     *     {@link FirstByte} has reported it.
     * @param restMillis how long the upstream asks this entry to send it nothing, in milliseconds; 0 if it doesn't.
     * @param leaving whether the answer said that the upstream leaves.
     * @param longestPauseMillis the longest pause between two events of a complete stream, in milliseconds; 0 if it
     *     wasn't measured.
     */
    record Ended(
            SlotOutcome outcome,
            long heldMillis,
            double eventMillis,
            long events,
            long expectedTokens,
            Optional<RequestLimit> limit,
            long restMillis,
            boolean leaving,
            long longestPauseMillis)
            implements SlotReport {
        /**
         * Creates a report without measurements.
         *
         * @param outcome how the attempt ended.
         */
        public Ended(SlotOutcome outcome) {
            this(outcome, 0, 0, 0, 0);
        }

        /**
         * Creates a report that states nothing about a limit.
         *
         * @param outcome how the attempt ended.
         * @param heldMillis the time for which the slot was held, in milliseconds.
         * @param eventMillis the time for one event, or for the complete answer of a plain call, in milliseconds.
         * @param events the number of events of a complete stream.
         * @param expectedTokens the number of output tokens that the caller had expected.
         */
        public Ended(SlotOutcome outcome, long heldMillis, double eventMillis, long events, long expectedTokens) {
            this(outcome, heldMillis, eventMillis, events, expectedTokens, Optional.empty(), 0, false, 0);
        }

        /**
         * Returns this report with what the answer stated about the upstream's limit.
         *
         * @param stated the limit, or that there is none.
         * @return the changed report.
         */
        public Ended withLimit(RequestLimit stated) {
            return copy(Optional.of(stated), restMillis, leaving, longestPauseMillis);
        }

        /**
         * Returns this report with the longest pause of a stream.
         *
         * @param millis the longest pause between two events, in milliseconds.
         * @return the changed report.
         */
        public Ended withLongestPause(long millis) {
            return copy(limit, restMillis, leaving, millis);
        }

        /**
         * Returns this report with what the upstream asks of this entry.
         *
         * @param millis for how long it wants nothing, in milliseconds; 0 if it doesn't ask for that.
         * @param leaves whether it says that it leaves.
         * @return the changed report.
         */
        public Ended withRequests(long millis, boolean leaves) {
            return copy(limit, millis, leaves, longestPauseMillis);
        }

        private Ended copy(
                Optional<RequestLimit> newLimit, long newRestMillis, boolean newLeaving, long newPauseMillis) {
            return new Ended(
                    outcome,
                    heldMillis,
                    eventMillis,
                    events,
                    expectedTokens,
                    newLimit,
                    newRestMillis,
                    newLeaving,
                    newPauseMillis);
        }
    }
}
