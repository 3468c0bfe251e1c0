package org.radishspur.decision.move;

/**
 * Detects a change by Page's cumulative sum test (Page, Continuous inspection schemes, Biometrika 1954): a sequential
 * probability ratio test that restarts whenever it favours "no change". It therefore detects a late change as quickly
 * as an early one.
 */
public final class Cusum {
    private final double threshold;
    private double sum;

    /**
     * Creates a test without observations.
     *
     * @param threshold the sum of natural log likelihood ratios at which the change counts as detected.
     */
    public Cusum(double threshold) {
        this.threshold = threshold;
    }

    /**
     * Adds one observation.
     *
     * @param logLikelihoodRatio the natural logarithm of how many times more likely the observation is with a change
     *     than without.
     */
    public void add(double logLikelihoodRatio) {
        sum = Math.max(0, sum + logLikelihoodRatio);
    }

    /**
     * Returns whether the change is detected.
     *
     * @return whether the sum has reached the threshold.
     */
    public boolean isChangeDetected() {
        return sum >= threshold;
    }

    /**
     * Returns how close the test is to detecting a change.
     *
     * @return the sum as a share of the threshold; 0 without evidence, 1 or more if the change is detected.
     */
    public double thresholdShare() {
        return sum / threshold;
    }
}
