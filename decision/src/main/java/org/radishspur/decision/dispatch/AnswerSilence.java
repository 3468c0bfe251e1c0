package org.radishspur.decision.dispatch;

/**
 * Detects an upstream that stops answering without a connection reset, so that no new request is sent to it. A busy engine
 * keeps sending events of some stream, so that it doesn't count as silent.
 */
final class AnswerSilence {
    /** Weight of the newest answer in the average time to first byte; about ten answers outweigh the older ones. */
    private static final double TIME_AVERAGE_WEIGHT = 0.1;

    /**
     * The minimum time without a byte for an upstream that has not answered yet, in milliseconds. With a queue of long
     * prompts the first answer of a slow engine takes over a second; with a shorter limit every attempt would be abandoned
     * before it, and the engine would never be measured as slow.
     */
    private static final long FIRST_ANSWER_SILENCE_MILLIS = 1_500;

    /** An upstream counts as silent after this multiple of its usual time to first byte. */
    private static final double SILENCE_FACTOR = 5;

    private final MovingAverage firstByteMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);
    private final UnansweredRequests unanswered;
    private long lastByteAt;

    /**
     * Creates the detection for one upstream.
     *
     * @param unanswered the requests of which no byte has come.
     */
    AnswerSilence(UnansweredRequests unanswered) {
        this.unanswered = unanswered;
    }

    /** Records that a request is about to be sent; the time in which none was unanswered is no silence. */
    void recordSending(long now) {
        if (unanswered.isEmpty()) {
            lastByteAt = now;
        }
    }

    void recordBytes(long now) {
        lastByteAt = now;
    }

    /** Records the time from sending a request to the first byte of its answer. */
    void recordFirstByte(long millis, long now) {
        lastByteAt = now;
        firstByteMillis.add(millis);
    }

    /** Returns whether there are unanswered requests and nothing has been sent for so long that the upstream seems to hang. */
    boolean isSilent(long now) {
        if (unanswered.isEmpty()) {
            return false;
        }
        double usualLimit =
                firstByteMillis.isKnown() ? firstByteMillis.value() * SILENCE_FACTOR : FIRST_ANSWER_SILENCE_MILLIS;
        double limit = Math.max(UpstreamLoad.MIN_SILENCE_MILLIS, usualLimit);
        if (now - lastByteAt <= limit) {
            return false;
        }
        return now - unanswered.oldestSentAt(now) > limit;
    }
}
