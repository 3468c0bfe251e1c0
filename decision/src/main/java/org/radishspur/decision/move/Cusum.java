package org.radishspur.decision.move;

/**
 * Accumulates evidence for a change, observation by observation: Page's cumulative sum test (Page, Continuous inspection
 * schemes, Biometrika 1954), that is, a sequential probability ratio test that begins anew whenever it favours "no
 * change". It so finds a fault that shows late as quickly as one that shows at once.
 */
public final class Cusum {
    private final double threshold;
    private double sum;

    /**
     * Creates a test without evidence.
     *
     * @param threshold the sum of log likelihood ratios at which the change counts as found.
     */
    public Cusum(double threshold) {
        this.threshold = threshold;
    }

    /**
     * Takes one observation.
     *
     * @param logLikelihoodRatio how much more likely the observation is if there is a change, as a logarithm.
     */
    public void add(double logLikelihoodRatio) {
        sum = Math.max(0, sum + logLikelihoodRatio);
    }

    /**
     * Returns whether the change is found.
     *
     * @return whether the sum has reached the threshold.
     */
    public boolean isFound() {
        return sum >= threshold;
    }

    /**
     * Returns how near the test is to finding a change.
     *
     * @return the sum as a share of the threshold.
     */
    public double doubt() {
        return sum / threshold;
    }
}
