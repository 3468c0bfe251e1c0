package org.radishspur.decision.permit;

/**
 * Estimates the ratio of the actual to the estimated cost of requests. It corrects the expected wait of a queue whose
 * requests announced wrong answer lengths.
 */
final class CostCorrection {
    /** The minimum weight of a new sample in the moving averages. */
    private static final double SMOOTHING = 0.02;

    private double meanEstimatedCost = 1;
    private double meanActualCost = 1;
    private int samples;

    void addSample(double estimatedCost, double actualCost) {
        samples++;
        double weight = Math.max(SMOOTHING, 1.0 / samples);
        meanEstimatedCost += weight * (estimatedCost - meanEstimatedCost);
        meanActualCost += weight * (actualCost - meanActualCost);
    }

    /** Returns the mean actual cost divided by the mean estimated cost. */
    double factor() {
        return meanActualCost / Math.max(1, meanEstimatedCost);
    }
}
