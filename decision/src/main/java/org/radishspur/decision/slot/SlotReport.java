package org.radishspur.decision.slot;

/**
 * Reports to the scheduler what has become of a slot.
 */
public sealed interface SlotReport {
    /**
     * Says that the answer has begun.
     *
     * @param millis the time since the request was sent.
     */
    record FirstByte(long millis) implements SlotReport {}

    /**
     * Says in the middle of a stream how fast an upstream is whose pace isn't known.
     *
     * @param eventMillis the time for one event in milliseconds.
     */
    record FirstEventTime(double eventMillis) implements SlotReport {}

    /**
     * Says that the slot is free.
     *
     * @param outcome how the attempt ended.
     * @param heldMillis how long the slot was held.
     * @param eventMillis the time for one event, or for a whole plain answer; 0 where it wasn't seen.
     * @param events the events of a whole stream, 0 where it says nothing about the length of answers.
     * @param expectedTokens how many tokens its caller had expected.
     */
    record Ended(SlotOutcome outcome, long heldMillis, double eventMillis, long events, long expectedTokens)
            implements SlotReport {
        /**
         * Reports an end from which no times are learnt.
         *
         * @param outcome how the attempt ended.
         */
        public Ended(SlotOutcome outcome) {
            this(outcome, 0, 0, 0, 0);
        }
    }
}
