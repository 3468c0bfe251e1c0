package org.radishspur.decision.dispatch;

/**
 * Learns how many events of a stream come for a token that its caller expects.
 */
public final class OutputLengthEstimate {
    /** What remains of the weight of an answer when the next one comes; some hundred answers make up the ratio. */
    private static final double DECAY_PER_ANSWER = 0.99;

    private double tokens;
    private double events;
    private double answers;

    /** Creates an estimate that knows nothing. */
    public OutputLengthEstimate() {}

    /**
     * Notes a whole answer.
     *
     * @param expectedTokens how many tokens its caller had expected, or 0.
     * @param eventCount the events that have come.
     */
    public void add(long expectedTokens, long eventCount) {
        answers = answers * DECAY_PER_ANSWER + 1;
        events = events * DECAY_PER_ANSWER + eventCount;
        tokens = tokens * DECAY_PER_ANSWER + expectedTokens;
    }

    /**
     * Returns how many events an answer has that is some times as long as its caller expects, but within its limit.
     */
    double events(long expectedTokens, double lengthFactor, long limitTokens) {
        double scaledEvents = lengthFactor * events(expectedTokens);
        return limitTokens > 0 ? Math.min(scaledEvents, events(limitTokens)) : scaledEvents;
    }

    /** Returns how many events are to be expected; a plain call counts as one. */
    double events(long expectedTokens) {
        if (expectedTokens > 0 && tokens > 0) {
            return Math.max(1, expectedTokens * events / tokens);
        }
        return answers > 0 ? Math.max(1, events / answers) : 1;
    }
}
