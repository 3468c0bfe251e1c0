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

    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumProducts;

    void add(double tokens, double millis) {
        weight = weight * DECAY_PER_ANSWER + 1;
        sumTokens = sumTokens * DECAY_PER_ANSWER + tokens;
        sumMillis = sumMillis * DECAY_PER_ANSWER + millis;
        sumTokensSquared = sumTokensSquared * DECAY_PER_ANSWER + tokens * tokens;
        sumProducts = sumProducts * DECAY_PER_ANSWER + tokens * millis;
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
        double spread = weight * sumTokensSquared - sumTokens * sumTokens;
        double mean = sumMillis / weight;
        if (spread <= 1) {
            return mean;
        }
        double slope = Math.max(0, (weight * sumProducts - sumTokens * sumMillis) / spread);
        return Math.max(0, mean + slope * (tokens - sumTokens / weight));
    }
}
