package org.radishspur.decision.upstream;

/**
 * A moving average of measured times, in which requests that ran at the same time raise the value together to at most
 * twice what it was.
 *
 * <p>When a host gets no CPU time for a while, all requests that it runs take longer by the whole pause. Each of them
 * alone would count as evidence, and a pause of a second would make an upstream appear a thousand times slower.
 */
final class SampleAverage {
    /** The minimum weight of a new sample. */
    private static final double SMOOTHING = 0.15;

    /** The factor by which the samples of one group raise the value at most. */
    private static final double MAX_RISE_FACTOR = 2;

    private double value;
    private int samples;

    /** The number of samples by which a new one is weighted. */
    private int weightedSamples;

    private int groups;
    private long groupBeganAt;
    private double groupMaximum;

    /**
     * Creates an average without samples.
     *
     * @param initial its value until the first sample.
     */
    SampleAverage(double initial) {
        value = initial;
    }

    /**
     * Adds a sample.
     *
     * @param sample the measured time.
     * @param startedAt when the measured request was dispatched, in microseconds.
     * @param now the current time in microseconds.
     */
    void add(double sample, long startedAt, long now) {
        samples++;
        weightedSamples++;
        move(sample, Math.max(SMOOTHING, 1.0 / weightedSamples), startedAt, now);
    }

    /**
     * Raises the value by a sample that isn't complete yet and can only become longer. It is no sample of its own.
     *
     * @param minimum the minimum that the measured time can still be.
     * @param startedAt when the measured request was dispatched, in microseconds.
     * @param now the current time in microseconds.
     */
    void addMinimum(double minimum, long startedAt, long now) {
        if (minimum > value) {
            move(minimum, SMOOTHING, startedAt, now);
        }
    }

    private void move(double sample, double weight, long startedAt, long now) {
        // A request that was dispatched after the group began has not run beside all of its requests.
        if (groups == 0 || startedAt >= groupBeganAt) {
            groups++;
            groupBeganAt = now;
            groupMaximum = value * MAX_RISE_FACTOR;
        }
        value = Math.min(groupMaximum, value + weight * (sample - value));
    }

    /** Lets the next samples count as if they were the first ones, after a time without samples. */
    void restart() {
        weightedSamples = 0;
    }

    /** Lowers the value to at most a maximum. */
    void limit(double maximum) {
        value = Math.min(value, maximum);
    }

    double value() {
        return value;
    }

    int samples() {
        return samples;
    }

    /** Returns the number of groups of requests that ran at the same time. */
    int groups() {
        return groups;
    }
}
