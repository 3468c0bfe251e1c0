package org.radishspur.decision.dispatch;

/**
 * Learns how the time to the first byte of an upstream grows with the tokens of the prompt: a straight line through the
 * recent answers, of which each newer one counts a little more.
 */
final class FirstByteModel {
    /** What remains of the weight of an answer when the next one comes; some thirty answers make up the line. */
    private static final double DECAY_PER_ANSWER = 0.97;

    /** With fewer answers than this the line is not used. */
    private static final double MIN_WEIGHT = 4;

    /** With so many answers the line is taken for upstreams that have given none of them. */
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

    /** Returns whether so many answers are known that the line is good for upstreams that have given none of them. */
    boolean isKnownForPool() {
        return weight >= MIN_POOL_WEIGHT;
    }

    boolean isKnown() {
        return weight >= MIN_WEIGHT;
    }

    /** Returns the expected time in milliseconds. */
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
