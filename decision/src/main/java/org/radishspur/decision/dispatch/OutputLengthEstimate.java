package org.radishspur.decision.dispatch;

/**
 * Estimates how many stream events an answer has, from the number of output tokens that its caller expects.
 */
public final class OutputLengthEstimate {
    /**
     * Factor by which the weight of earlier answers shrinks with each new one; about a hundred answers determine the
     * ratio.
     */
    private static final double DECAY_PER_ANSWER = 0.99;

    private double tokens;
    private double events;
    private double answers;

    /** Creates an estimate without answers. */
    public OutputLengthEstimate() {}

    /**
     * Records a complete answer.
     *
     * @param expectedTokens how many tokens its caller expected; 0 where the caller didn't state it.
     * @param eventCount the number of events of the answer.
     */
    public void add(long expectedTokens, long eventCount) {
        answers = answers * DECAY_PER_ANSWER + 1;
        events = events * DECAY_PER_ANSWER + eventCount;
        tokens = tokens * DECAY_PER_ANSWER + expectedTokens;
    }

    /**
     * Returns the number of events of an answer that is longer than its caller expects by a factor, within its token
     * limit.
     */
    double events(long expectedTokens, double lengthFactor, long limitTokens) {
        double scaledEvents = lengthFactor * events(expectedTokens);
        return limitTokens > 0 ? Math.min(scaledEvents, events(limitTokens)) : scaledEvents;
    }

    /** Returns the expected number of events; a plain call counts as one. */
    double events(long expectedTokens) {
        if (expectedTokens > 0 && tokens > 0) {
            return Math.max(1, expectedTokens * events / tokens);
        }
        return answers > 0 ? Math.max(1, events / answers) : 1;
    }
}
