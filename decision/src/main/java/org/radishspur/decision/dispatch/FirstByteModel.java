package org.radishspur.decision.dispatch;

/**
 * Estimates the time to first byte of an upstream from the number of prompt tokens, by linear regression over recent
 * answers. Newer answers have a little more weight.
 */
final class FirstByteModel {
    /**
     * Factor by which the weight of earlier answers shrinks with each new one; about thirty answers determine the line.
     */
    private static final double DECAY_PER_ANSWER = 0.97;

    /** Total weight of answers below which the estimate is not used. */
    private static final double MIN_WEIGHT = 4;

    /** Total weight of answers from which the estimate also applies to upstreams without answers of their own. */
    private static final double MIN_POOL_WEIGHT = 20;

    private final double decay;
    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumProducts;

    FirstByteModel() {
        this(DECAY_PER_ANSWER);
    }

    /**
     * Creates a model without answers.
     *
     * @param decay the factor by which the weight of earlier answers shrinks with each new one, between 0 and 1.
     */
    FirstByteModel(double decay) {
        this.decay = decay;
    }

    void add(double tokens, double millis) {
        weight = weight * decay + 1;
        sumTokens = sumTokens * decay + tokens;
        sumMillis = sumMillis * decay + millis;
        sumTokensSquared = sumTokensSquared * decay + tokens * tokens;
        sumProducts = sumProducts * decay + tokens * millis;
    }

    /** Returns whether there are enough answers to apply the estimate to upstreams without answers of their own. */
    boolean isKnownForPool() {
        return weight >= MIN_POOL_WEIGHT;
    }

    boolean isKnown() {
        return weight >= MIN_WEIGHT;
    }

    /** Returns the expected time to first byte in milliseconds. */
    double millis(double tokens) {
        return Math.max(0, sumMillis / weight + millisPerToken() * (tokens - sumTokens / weight));
    }

    /** Returns the expected time for each further token in milliseconds; 0 where all prompts had the same length. */
    double millisPerToken() {
        double spread = weight * sumTokensSquared - sumTokens * sumTokens;
        return spread <= 1 ? 0 : Math.max(0, (weight * sumProducts - sumTokens * sumMillis) / spread);
    }
}
