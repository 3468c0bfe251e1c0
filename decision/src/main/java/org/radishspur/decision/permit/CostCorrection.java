package org.radishspur.decision.permit;

/**
 * Learns how the true cost of requests compares with what was estimated when they arrived, so that a queue full of
 * requests with badly announced lengths doesn't look much longer or shorter than it is.
 */
final class CostCorrection {
    private static final double SMOOTHING = 0.02;

    private double meanEstimatedCost = 1;
    private double meanActualCost = 1;
    private int samples;

    void learn(double estimatedCost, double actualCost) {
        samples++;
        double gain = Math.max(SMOOTHING, 1.0 / samples);
        meanEstimatedCost += gain * (estimatedCost - meanEstimatedCost);
        meanActualCost += gain * (actualCost - meanActualCost);
    }

    double factor() {
        return meanActualCost / Math.max(1, meanEstimatedCost);
    }
}
