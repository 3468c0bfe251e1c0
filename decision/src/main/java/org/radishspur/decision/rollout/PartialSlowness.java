package org.radishspur.decision.rollout;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * Weighs whether half of the responses of a version are several times slower, against all of them being as usual. It takes
 * the spread of the other upstreams' times for that of a sound one, so that a few responses of one upstream show something.
 *
 * <p>Times are logarithms in equal steps; the usual time of an upstream is its median.
 */
final class PartialSlowness {
    private static final int STEPS_PER_OCTAVE = 4;

    /** The smallest and largest slowness that is looked for, and the distance between two, in steps. */
    private static final int MIN_SHIFT_STEPS = STEPS_PER_OCTAVE;

    private static final int MAX_SHIFT_STEPS = 3 * STEPS_PER_OCTAVE;
    private static final int SHIFT_DISTANCE_STEPS = 2;

    /** The largest difference from the usual time that is told from larger ones, in steps. */
    private static final int MAX_DIFFERENCE_STEPS = 6 * STEPS_PER_OCTAVE;

    /** The number of differences that are assumed before any is known, and their standard deviation in steps. */
    private static final double ASSUMED_DIFFERENCES = 4;

    private static final double ASSUMED_DEVIATION_STEPS = 2;

    /** The probability of each difference, however large, beside those that are known. */
    private static final double MIN_PROBABILITY = 0.001;

    /** The part of the responses of a faulty version that are slow. */
    private static final double SLOW_SHARE = 0.5;

    /** The range of usual times that are considered beyond those that are known, in steps. */
    private static final int RANGE_STEPS = 4 * STEPS_PER_OCTAVE;

    private final int[] usual;
    private final double unknownProbability;
    private final double[] probabilities = new double[2 * MAX_DIFFERENCE_STEPS + 1];

    /**
     * Creates a comparison.
     *
     * @param others the sorted times of each other upstream; not empty.
     * @param unknownDensity the probability density, per octave, of an upstream unlike any of the others.
     */
    PartialSlowness(List<int[]> others, double unknownDensity) {
        usual = others.stream().mapToInt(steps -> steps[(steps.length - 1) / 2]).toArray();
        unknownProbability = unknownDensity / STEPS_PER_OCTAVE;
        for (int difference = -MAX_DIFFERENCE_STEPS; difference <= MAX_DIFFERENCE_STEPS; difference++) {
            addDifference(difference, ASSUMED_DIFFERENCES * normal(difference, ASSUMED_DEVIATION_STEPS));
        }
        for (int index = 0; index < usual.length; index++) {
            for (int step : others.get(index)) {
                int difference = step - usual[index];
                // Equal steps are hardly ever equal times.
                addDifference(difference - 1, 0.25);
                addDifference(difference, 0.5);
                addDifference(difference + 1, 0.25);
            }
        }
        double sum = Arrays.stream(probabilities).sum();
        for (int index = 0; index < probabilities.length; index++) {
            probabilities[index] = probabilities[index] / sum + MIN_PROBABILITY;
        }
    }

    private static double normal(double difference, double deviation) {
        return Math.exp(-difference * difference / (2 * deviation * deviation)) / (deviation * Math.sqrt(2 * Math.PI));
    }

    private void addDifference(int difference, double weight) {
        probabilities[index(difference)] += weight;
    }

    private static int index(int difference) {
        return MAX_DIFFERENCE_STEPS + Math.max(-MAX_DIFFERENCE_STEPS, Math.min(MAX_DIFFERENCE_STEPS, difference));
    }

    /**
     * Returns the logarithm of the ratio of the two likelihoods.
     *
     * @param trial the times of each upstream of the version.
     * @return the logarithm; positive if slowness is the better explanation.
     */
    double logRatio(List<int[]> trial) {
        double sum = 0;
        int shifts = 0;
        for (int shift = MIN_SHIFT_STEPS; shift <= MAX_SHIFT_STEPS; shift += SHIFT_DISTANCE_STEPS) {
            double logRatio = 0;
            for (int[] steps : trial) {
                logRatio += logLikelihood(steps, SLOW_SHARE, shift) - logLikelihood(steps, 0, 0);
            }
            sum += Math.exp(logRatio);
            shifts++;
        }
        return Math.log(sum / shifts);
    }

    /** Returns the logarithm of the likelihood of an upstream's times, over all usual times that it may have. */
    private double logLikelihood(int[] steps, double slowShare, int shift) {
        int from = Math.min(
                        Arrays.stream(steps).min().orElse(0),
                        Arrays.stream(usual).min().orElse(0))
                - RANGE_STEPS;
        int to = Math.max(
                        Arrays.stream(steps).max().orElse(0),
                        Arrays.stream(usual).max().orElse(0))
                + RANGE_STEPS;
        double[] logs = new double[to - from + 1];
        for (int candidate = from; candidate <= to; candidate++) {
            int assumed = candidate;
            IntToDoubleFunction logOfStep = step -> Math.log((1 - slowShare) * probabilities[index(step - assumed)]
                    + slowShare * probabilities[index(step - assumed - shift)]);
            logs[candidate - from] = Math.log(prior(candidate))
                    + Arrays.stream(steps).mapToDouble(logOfStep).sum();
        }
        double largest = Arrays.stream(logs).max().orElse(0);
        return largest
                + Math.log(Arrays.stream(logs)
                        .map(each -> Math.exp(each - largest))
                        .sum());
    }

    private double prior(int candidate) {
        return Arrays.stream(usual)
                                .mapToDouble(each -> normal(candidate - each, 1))
                                .sum()
                        / usual.length
                + unknownProbability;
    }
}
