package org.radishspur.decision.dispatch;

/**
 * Computes an exponentially weighted moving average. The first samples are weighted equally, so that the average is
 * usable from the first sample on.
 */
final class MovingAverage {
    private final double weight;
    private double value;
    private long samples;

    /**
     * Creates an average without samples.
     *
     * @param weight the share of the newest sample once there are many, from 0 to 1.
     */
    MovingAverage(double weight) {
        this.weight = weight;
    }

    void add(double sample) {
        samples++;
        value += (sample - value) * Math.max(weight, 1.0 / samples);
    }

    boolean isKnown() {
        return samples > 0;
    }

    long samples() {
        return samples;
    }

    double value() {
        return value;
    }
}
