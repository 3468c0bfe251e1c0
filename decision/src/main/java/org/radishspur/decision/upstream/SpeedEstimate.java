package org.radishspur.decision.upstream;

/**
 * Estimates the speed of one upstream from the times of the requests that it ran.
 */
public final class SpeedEstimate {
    private static final double INITIAL_PREFILL_MICROS = 200;
    private static final double INITIAL_OUTPUT_MICROS = 20_000;
    private static final double INITIAL_SERVICE_MICROS = 2_000;

    /** The factor by which the best time rises with each sample, so that an outdated best time is replaced. */
    private static final double BEST_DECAY_FACTOR = 1.0002;

    /** The wait for a step of the engine, as a number of prompt tokens that take the same time. */
    private static final int STEP_OVERHEAD_TOKENS = 256;

    /** From how many times the best time on the time for each output token is a sign of congestion. */
    private static final double SLOW_OUTPUT_FACTOR = 2.5;

    /** From how many times the best time on the time for each prompt token is a sign of congestion. */
    private static final double SLOW_PREFILL_FACTOR = 8;

    /** The share of the congestion thresholds to which the times are lowered after a reaction to congestion. */
    private static final double RESET_SHARE = 0.6;

    /** The time for each output token up to which output is never a sign of congestion. */
    private static final double MIN_CONGESTED_OUTPUT_MICROS = 5_000;

    /** From how many answers on the upstream counts as measured. */
    private static final int MIN_SAMPLES = 5;

    /** The same for groups of answers that ran at the same time, since those of one group may share one stall. */
    private static final int MIN_SAMPLE_GROUPS = 2;

    private final SampleAverage prefill = new SampleAverage(INITIAL_PREFILL_MICROS);
    private final SampleAverage output;
    private double bestOutputMicros = Double.MAX_VALUE;
    private double bestPrefillMicros = Double.MAX_VALUE;

    /**
     * Creates the estimate of an upstream that has not run a request yet.
     *
     * @param engine whether the upstream is a model engine.
     */
    public SpeedEstimate(boolean engine) {
        output = new SampleAverage(engine ? INITIAL_OUTPUT_MICROS : INITIAL_SERVICE_MICROS);
    }

    /**
     * Updates the estimate with the time to the first token of an answer.
     *
     * @param uncachedTokens the number of prompt tokens that had to be processed.
     * @param startedAt when the request was dispatched, in microseconds.
     * @param now the time of the first token in microseconds.
     */
    public void addFirstTokenTime(int uncachedTokens, long startedAt, long now) {
        prefill.add((now - startedAt) / (double) (uncachedTokens + STEP_OVERHEAD_TOKENS), startedAt, now);
        bestPrefillMicros = Math.min(bestPrefillMicros * BEST_DECAY_FACTOR, prefill.value());
    }

    /**
     * Updates the estimate with a complete answer.
     *
     * @param micros the time that the tokens took in microseconds, from the first one where there was a prompt.
     * @param outputTokens the number of tokens in the answer.
     * @param startedAt when the request was dispatched, in microseconds.
     * @param now the current time in microseconds.
     */
    public void addOutputTime(long micros, int outputTokens, long startedAt, long now) {
        output.add(micros / (double) Math.max(1, outputTokens), startedAt, now);
        bestOutputMicros = Math.min(bestOutputMicros * BEST_DECAY_FACTOR, output.value());
    }

    /**
     * Updates the estimate with a request in flight that has already taken longer than expected.
     *
     * @param minMicrosPerToken the time for each token if the request ended now, in microseconds, which is the minimum
     *     that it can still be.
     * @param startedAt when the request was dispatched, in microseconds.
     * @param now the current time in microseconds.
     */
    public void addOverdueOutputTime(double minMicrosPerToken, long startedAt, long now) {
        output.addMinimum(minMicrosPerToken, startedAt, now);
    }

    /**
     * Estimates how long a request would take.
     *
     * @param uncachedTokens the number of prompt tokens that would have to be processed.
     * @param outputTokens the number of tokens in the answer.
     * @return the time in microseconds.
     */
    public double expectedMicros(int uncachedTokens, int outputTokens) {
        return micros(uncachedTokens, prefill.value(), outputTokens, output.value());
    }

    /**
     * Computes the time of a request from the times for each token. Even a cached prompt waits for a step of the
     * engine, which is added as a fixed number of prompt tokens. A request without a prompt has no such wait.
     *
     * @param uncachedTokens the number of prompt tokens that would have to be processed.
     * @param prefillMicros the time for each of them in microseconds.
     * @param outputTokens the number of tokens in the answer.
     * @param outputMicros the time for each of them in microseconds.
     * @return the time in microseconds.
     */
    public static double micros(int uncachedTokens, double prefillMicros, int outputTokens, double outputMicros) {
        return stepTokens(uncachedTokens) * prefillMicros + outputTokens * outputMicros;
    }

    /**
     * Returns the number of prompt tokens that take the same time as a prompt and the wait for a step of the engine.
     *
     * @param uncachedTokens the number of prompt tokens that would have to be processed.
     * @return the number of tokens, 0 where there is no prompt.
     */
    public static int stepTokens(int uncachedTokens) {
        return uncachedTokens == 0 ? 0 : uncachedTokens + STEP_OVERHEAD_TOKENS;
    }

    /**
     * Computes the time of a request on a fictitious engine of constant speed. It serves as a reference for comparing
     * requests that ran at different times.
     *
     * @param promptTokens the length of the prompt in tokens.
     * @param outputTokens the length of the answer in tokens.
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
        return output.value();
    }

    /**
     * Returns the time for each token of a prompt.
     *
     * @return the time in microseconds.
     */
    public double prefillMicros() {
        return prefill.value();
    }

    /**
     * Returns whether the upstream is congested, by comparing its present times with its best recent ones. Late first
     * tokens mean that requests wait in the queue of the engine; slow output means that it runs too many requests at
     * once.
     *
     * @param noneWaiting whether the upstream reports that no request waits in its queue, so that late first tokens
     *     have another cause.
     * @return whether the upstream is congested.
     */
    public boolean isCongested(boolean noneWaiting) {
        boolean slowOutput =
                output.value() > SLOW_OUTPUT_FACTOR * bestOutputMicros && output.value() > MIN_CONGESTED_OUTPUT_MICROS;
        boolean slowPrefill = prefill.value() > SLOW_PREFILL_FACTOR * bestPrefillMicros;
        return slowOutput || slowPrefill && !noneWaiting;
    }

    /** Clears the signs of congestion after the limit was lowered, so that only later measurements count. */
    public void resetCongestion() {
        output.limit(bestOutputMicros * RESET_SHARE * SLOW_OUTPUT_FACTOR);
        prefill.limit(bestPrefillMicros * RESET_SHARE * SLOW_PREFILL_FACTOR);
    }

    /** Lets the next measurements count as if they were the first ones, after a time without requests. */
    public void restart() {
        prefill.restart();
        output.restart();
    }

    /**
     * Returns whether the estimate is based on enough requests to be used in decisions about the upstream.
     *
     * @return whether enough answers were measured that did not all run at the same time.
     */
    public boolean hasEnoughSamples() {
        return output.samples() >= MIN_SAMPLES && output.groups() >= MIN_SAMPLE_GROUPS;
    }
}
