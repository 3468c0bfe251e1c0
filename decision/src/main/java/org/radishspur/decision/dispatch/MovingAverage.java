package org.radishspur.decision.dispatch;

/**
 * Follows a quantity by an exponentially weighted average; the first samples count fully, so that it is of use at once.
 */
final class MovingAverage {
    private final double weight;
    private double value;
    private long samples;

    /**
     * Creates an average without samples.
     *
     * @param weight the part of the newest sample once many have come, from 0 to 1.
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
