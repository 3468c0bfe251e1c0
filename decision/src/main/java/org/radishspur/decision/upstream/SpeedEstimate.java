package org.radishspur.decision.upstream;

/**
 * Learns how fast one upstream works, from the measures of the requests that it ran.
 */
public final class SpeedEstimate {
    private static final double SMOOTHING = 0.15;
    private static final double INITIAL_PREFILL_MICROS = 200;
    private static final double INITIAL_OUTPUT_MICROS = 20_000;
    private static final double INITIAL_SERVICE_MICROS = 2_000;
    private static final double BEST_DECAY_FACTOR = 1.0002;
    private static final int STEP_OVERHEAD_TOKENS = 256;
    private static final double SLOW_OUTPUT_FACTOR = 2.5;
    private static final double SLOW_PREFILL_FACTOR = 8;
    private static final double RESET_SHARE = 0.6;
    private static final double MIN_CONGESTED_OUTPUT_MICROS = 5_000;

    private double prefillMicros = INITIAL_PREFILL_MICROS;
    private double outputMicros;
    private double bestOutputMicros = Double.MAX_VALUE;
    private double bestPrefillMicros = Double.MAX_VALUE;
    private int samples;
    private int prefillSamples;

    /**
     * Creates an estimate of an upstream that has run nothing yet.
     *
     * @param engine whether the upstream is a model engine.
     */
    public SpeedEstimate(boolean engine) {
        outputMicros = engine ? INITIAL_OUTPUT_MICROS : INITIAL_SERVICE_MICROS;
    }

    /**
     * Learns from the first token of an answer.
     *
     * @param uncachedTokens the number of prompt tokens that had to be computed.
     * @param micros the time from dispatch to the first token.
     */
    public void learnFirstToken(int uncachedTokens, long micros) {
        prefillSamples++;
        double perToken = micros / (double) (uncachedTokens + STEP_OVERHEAD_TOKENS);
        prefillMicros += Math.max(SMOOTHING, 1.0 / prefillSamples) * (perToken - prefillMicros);
        bestPrefillMicros = Math.min(bestPrefillMicros * BEST_DECAY_FACTOR, prefillMicros);
    }

    /**
     * Learns from an answer that came to its end.
     *
     * @param micros the time that the tokens took, from the first one where there was a prompt.
     * @param outputTokens the number of tokens in the answer.
     */
    public void learnOutput(long micros, int outputTokens) {
        samples++;
        double perToken = micros / (double) Math.max(1, outputTokens);
        outputMicros += Math.max(SMOOTHING, 1.0 / samples) * (perToken - outputMicros);
        bestOutputMicros = Math.min(bestOutputMicros * BEST_DECAY_FACTOR, outputMicros);
    }

    /**
     * Learns that a request has already taken longer than expected, without waiting for its end.
     *
     * @param perOutputMicros the least time for each token that the request can still turn out to have had.
     */
    public void learnOverdue(double perOutputMicros) {
        outputMicros += SMOOTHING * Math.max(0, perOutputMicros - outputMicros);
    }

    /**
     * Estimates how long a request would take.
     *
     * @param uncachedTokens the number of prompt tokens that would have to be computed.
     * @param outputTokens the number of tokens in the answer.
     * @return the time in microseconds.
     */
    public double expectedMicros(int uncachedTokens, int outputTokens) {
        return micros(uncachedTokens, prefillMicros, outputTokens, outputMicros);
    }

    /**
     * Works out the time of a request from the times of its tokens. Even a prompt that is cached waits for a step of the
     * engine, which counts as so many tokens.
     *
     * @param uncachedTokens the number of prompt tokens that would have to be computed.
     * @param prefillMicros the time for each of them.
     * @param outputTokens the number of tokens in the answer.
     * @param outputMicros the time for each of them.
     * @return the time in microseconds.
     */
    public static double micros(int uncachedTokens, double prefillMicros, int outputTokens, double outputMicros) {
        int prompt = uncachedTokens == 0 ? 0 : uncachedTokens + STEP_OVERHEAD_TOKENS;
        return prompt * prefillMicros + outputTokens * outputMicros;
    }

    /**
     * Works out the time of a request on an imagined engine whose speed never changes, as a yardstick for comparing
     * measures taken at different times.
     *
     * @param promptTokens the length of the prompt.
     * @param outputTokens the length of the answer.
     * @return the time in microseconds.
     */
    public static double referenceMicros(int promptTokens, int outputTokens) {
        return micros(promptTokens, INITIAL_PREFILL_MICROS, outputTokens, INITIAL_OUTPUT_MICROS);
    }

    /**
     * Returns the time for each token of an answer.
     *
     * @return the time in microseconds.
     */
    public double outputMicros() {
        return outputMicros;
    }

    /**
     * Returns the time for each token of a prompt.
     *
     * @return the time in microseconds.
     */
    public double prefillMicros() {
        return prefillMicros;
    }

    /**
     * Compares the present times with the best that this upstream has shown lately. First tokens that are late say that
     * requests wait inside the engine; output that is slow says that it runs too many at once.
     *
     * @param nothingWaits whether the upstream itself says that no request waits inside it, so that late first tokens
     *     have another reason.
     * @return whether the upstream has more to do than does it good.
     */
    public boolean isCongested(boolean nothingWaits) {
        boolean slowOutput =
                outputMicros > SLOW_OUTPUT_FACTOR * bestOutputMicros && outputMicros > MIN_CONGESTED_OUTPUT_MICROS;
        boolean slowPrefill = prefillMicros > SLOW_PREFILL_FACTOR * bestPrefillMicros;
        return slowOutput || slowPrefill && !nothingWaits;
    }

    /** Forgets the signs of congestion, once something was done about it; only fresh ones count from here on. */
    public void resetCongestion() {
        outputMicros = Math.min(outputMicros, bestOutputMicros * RESET_SHARE * SLOW_OUTPUT_FACTOR);
        prefillMicros = Math.min(prefillMicros, bestPrefillMicros * RESET_SHARE * SLOW_PREFILL_FACTOR);
    }

    /**
     * Returns whether the estimate rests on enough requests to be held against the upstream.
     *
     * @return whether it does.
     */
    public boolean hasEnoughSamples() {
        return samples >= 5;
    }
}
