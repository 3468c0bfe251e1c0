package org.radishspur.decision.rollout;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the response times of the upstreams of a pool during a rollout, and compares those of the version under trial with
 * those of the other versions.
 *
 * <p>Upstreams of one version may differ by several times, so that means over a version show little: each upstream counts
 * with its own usual time, and with the share of its responses that take much longer than that. Times are kept in steps of
 * a constant ratio, which add up over the processes that have measured them.
 */
public final class UpstreamTimes {
    private static final int STEPS_PER_OCTAVE = 4;

    /** The number of values of a cell in an array: the upstream, the kind and the count. */
    private static final int NUMBERS_PER_CELL = 3;

    private static final int MEASURES = Measure.values().length;

    /** The number of responses from which the usual time of an upstream of the other versions is known. */
    private static final int MIN_RESPONSES_OF_OTHERS = 3;

    /** The number of responses of the version under trial from which usual times are compared. */
    private static final int MIN_TRIAL_RESPONSES = 6;

    /** The number of its upstreams from which usual times prove anything; a single one may be of an unknown kind. */
    private static final int MIN_PROVING_UPSTREAMS = 2;

    /** The smallest and largest ratio of times by which a slow version is looked for, in octaves, and the step. */
    private static final double MIN_SHIFT_OCTAVES = 1;

    private static final double MAX_SHIFT_OCTAVES = 3;
    private static final double SHIFT_STEP_OCTAVES = 0.25;

    /** The standard deviation of the usual times of equal upstreams, in octaves. */
    private static final double USUAL_DEVIATION_OCTAVES = 0.25;

    /**
     * The probability density, per octave, of an upstream unlike the only one that is known; some one in three upstreams is
     * of a kind that is several times slower.
     */
    private static final double UNKNOWN_DENSITY_BESIDE_ONE = 0.07;

    /** The factor by which each further known upstream lowers that density: about the part of upstreams of the usual kind. */
    private static final double UNKNOWN_DENSITY_FACTOR = 0.7;

    private static final double MIN_UNKNOWN_DENSITY = 0.006;

    /** The logarithms of the likelihood ratio from which a slow version is suspected and proven: 1 in 10, 1 in 150. */
    private static final double SUSPECTED_LOG_RATIO = Math.log(10);

    private static final double PROVEN_LOG_RATIO = Math.log(150);

    /** The variance of a median as a multiple of that of the mean of as many values. */
    private static final double MEDIAN_VARIANCE_FACTOR = 1.57;

    /** The largest difference of one response from the usual time that counts in the variance, in octaves. */
    private static final double MAX_DEVIATION_OCTAVES = 2;

    /** The number of responses of an upstream from which slow ones are distinguished from usual ones. */
    private static final int MIN_RESPONSES_FOR_SHARE = 4;

    /** The number of such responses of a version from which the shares of slow ones are compared. */
    private static final int MIN_COMPARED_RESPONSES = 12;

    /** The part of an upstream's responses that are faster than its reference for slow ones. */
    private static final double REFERENCE_QUANTILE = 0.2;

    /** The difference from that reference from which a response is slow, in octaves. */
    private static final double SLOW_OCTAVES = 1;

    /** The difference of the shares of slow responses that is accepted. */
    private static final double ACCEPTED_SHARE = 0.1;

    /** The minimum share of slow responses that is assumed for the other versions. */
    private static final double MIN_SLOW_SHARE = 0.04;

    /** The excess of that share, in standard deviations, from which a slow version is suspected and proven. */
    private static final double SUSPECTED_DEVIATIONS = 2;

    private static final double PROVEN_DEVIATIONS = 3;

    private final Map<Cell, Integer> counts = new HashMap<>();

    /**
     * Adds a response.
     *
     * @param upstream identifies the upstream.
     * @param trial whether the upstream has the version under trial.
     * @param measure what was measured.
     * @param millis the time in milliseconds.
     */
    public void add(int upstream, boolean trial, Measure measure, double millis) {
        int step = (int) Math.round(Math.log(Math.max(1, millis)) / Math.log(2) * STEPS_PER_OCTAVE);
        counts.merge(new Cell(upstream, trial, measure, step), 1, Integer::sum);
    }

    /**
     * Adds what another process has measured.
     *
     * @param cells the result of {@link #toArray()} there.
     */
    public void addAll(int[] cells) {
        for (int index = 0; index + NUMBERS_PER_CELL <= cells.length; index += NUMBERS_PER_CELL) {
            counts.merge(Cell.decode(cells[index], cells[index + 1]), cells[index + 2], Integer::sum);
        }
    }

    /**
     * Adds other times.
     *
     * @param added the times to add.
     */
    public void addAll(UpstreamTimes added) {
        added.counts.forEach((cell, count) -> counts.merge(cell, count, Integer::sum));
    }

    /** Returns the times that were added since an earlier state. */
    UpstreamTimes since(UpstreamTimes earlier) {
        UpstreamTimes added = new UpstreamTimes();
        counts.forEach((cell, count) -> {
            int before = earlier.counts.getOrDefault(cell, 0);
            if (count > before) {
                added.counts.put(cell, count - before);
            }
        });
        return added;
    }

    /** Returns the times of the upstreams of one side, as if they were of the other or of the same side. */
    UpstreamTimes of(boolean trial, boolean asTrial) {
        UpstreamTimes selected = new UpstreamTimes();
        counts.forEach((cell, count) -> {
            if (cell.trial() == trial) {
                selected.counts.put(new Cell(cell.upstream(), asTrial, cell.measure(), cell.step()), count);
            }
        });
        return selected;
    }

    /** Returns the number of responses of the version under trial. */
    int trialResponses() {
        return counts.entrySet().stream()
                .filter(each -> each.getKey().trial())
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /**
     * Returns all times in a form for messages.
     *
     * @return three numbers for each upstream and time.
     */
    public int[] toArray() {
        int[] cells = new int[counts.size() * NUMBERS_PER_CELL];
        int index = 0;
        for (Map.Entry<Cell, Integer> each : counts.entrySet()) {
            cells[index++] = each.getKey().upstream();
            cells[index++] = each.getKey().kind();
            cells[index++] = each.getValue();
        }
        return cells;
    }

    /**
     * Returns the evidence that the version under trial is slower than the others.
     *
     * @return the strongest evidence of any measure.
     */
    public Evidence slowness() {
        Evidence strongest = Evidence.NONE;
        for (Measure measure : Measure.values()) {
            List<double[]> trial = octavesByUpstream(true, measure);
            List<double[]> others = octavesByUpstream(false, measure);
            Evidence ofShift = Evidence.of(
                    shiftLogRatio(trial, others),
                    SUSPECTED_LOG_RATIO,
                    trial.size() < MIN_PROVING_UPSTREAMS ? Double.POSITIVE_INFINITY : PROVEN_LOG_RATIO);
            Evidence ofShare = Evidence.of(slowShareExcess(trial, others), SUSPECTED_DEVIATIONS, PROVEN_DEVIATIONS);
            strongest = strongest.or(ofShift).or(ofShare);
        }
        return strongest;
    }

    /**
     * Returns the number of upstreams of the version under trial with a response.
     *
     * @return the number of upstreams.
     */
    public int trialUpstreams() {
        return (int) counts.keySet().stream()
                .filter(Cell::trial)
                .mapToInt(Cell::upstream)
                .distinct()
                .count();
    }

    /**
     * Returns whether half of the responses of the version under trial may be several times slower, which takes more
     * computation than {@link #slowness()} and finds it with fewer responses.
     *
     * @return whether that explains the times better than chance.
     */
    boolean mayBePartlySlow() {
        return Arrays.stream(Measure.values()).anyMatch(measure -> {
            // Fewer responses don't tell a slow upstream from a partly slow one.
            List<int[]> trial = steps(withEnoughResponses(octavesByUpstream(true, measure)));
            List<int[]> others = steps(octavesByUpstream(false, measure).stream()
                    .filter(octaves -> octaves.length >= MIN_RESPONSES_OF_OTHERS)
                    .toList());
            int responses = trial.stream().mapToInt(steps -> steps.length).sum();
            return !others.isEmpty()
                    && responses >= MIN_TRIAL_RESPONSES
                    && new PartialSlowness(others, unknownDensity(others.size())).logRatio(trial)
                            >= SUSPECTED_LOG_RATIO;
        });
    }

    private static List<int[]> steps(List<double[]> octavesByUpstream) {
        return octavesByUpstream.stream()
                .map(octaves -> Arrays.stream(octaves)
                        .mapToInt(each -> (int) Math.round(each * STEPS_PER_OCTAVE))
                        .toArray())
                .toList();
    }

    /** Returns the sorted logarithms of the times of each upstream. */
    private List<double[]> octavesByUpstream(boolean trial, Measure measure) {
        Map<Integer, List<Double>> values = new HashMap<>();
        counts.forEach((cell, count) -> {
            if (cell.trial() == trial && cell.measure() == measure) {
                List<Double> list = values.computeIfAbsent(cell.upstream(), key -> new ArrayList<>());
                for (int number = 0; number < count; number++) {
                    list.add((double) cell.step() / STEPS_PER_OCTAVE);
                }
            }
        });
        return values.values().stream()
                .map(list ->
                        list.stream().mapToDouble(Double::doubleValue).sorted().toArray())
                .toList();
    }

    /**
     * Returns the logarithm of the ratio of two likelihoods of the trial version's usual times: that its upstreams are of
     * the known kinds and slower by a constant factor, and that they are of the known kinds.
     */
    private static double shiftLogRatio(List<double[]> trial, List<double[]> all) {
        List<double[]> others = all.stream()
                .filter(octaves -> octaves.length >= MIN_RESPONSES_OF_OTHERS)
                .toList();
        if (others.isEmpty() || count(trial) < MIN_TRIAL_RESPONSES) {
            return 0;
        }
        double[] usual = others.stream().mapToDouble(UpstreamTimes::median).toArray();
        double varianceWithin = varianceWithin(others);
        double largest = 0;
        for (double shift = MIN_SHIFT_OCTAVES; shift <= MAX_SHIFT_OCTAVES; shift += SHIFT_STEP_OCTAVES) {
            double logRatio = 0;
            for (double[] octaves : trial) {
                logRatio += logRatio(octaves, shift, usual, varianceWithin);
            }
            largest = Math.max(largest, logRatio);
        }
        return largest;
    }

    private static double logRatio(double[] octaves, double shift, double[] usual, double varianceWithin) {
        double variance = USUAL_DEVIATION_OCTAVES * USUAL_DEVIATION_OCTAVES
                + MEDIAN_VARIANCE_FACTOR * varianceWithin / octaves.length;
        double median = median(octaves);
        return Math.log(density(median - shift, usual, variance) / density(median, usual, variance));
    }

    /** Returns the probability density of a usual time, given those that are known. */
    private static double density(double octaves, double[] usual, double variance) {
        double sum = 0;
        for (double each : usual) {
            sum += Math.exp(-(octaves - each) * (octaves - each) / (2 * variance));
        }
        return sum / usual.length / Math.sqrt(2 * Math.PI * variance) + unknownDensity(usual.length);
    }

    private static double unknownDensity(int known) {
        return Math.max(MIN_UNKNOWN_DENSITY, UNKNOWN_DENSITY_BESIDE_ONE * Math.pow(UNKNOWN_DENSITY_FACTOR, known - 1));
    }

    private static double varianceWithin(List<double[]> upstreams) {
        double squares = 0;
        for (double[] octaves : upstreams) {
            double median = median(octaves);
            for (double each : octaves) {
                double deviation = Math.min(MAX_DEVIATION_OCTAVES, Math.abs(each - median));
                squares += deviation * deviation;
            }
        }
        return squares / count(upstreams);
    }

    /** Returns by how many standard deviations the version under trial has more slow responses than is accepted. */
    private static double slowShareExcess(List<double[]> trial, List<double[]> others) {
        List<double[]> comparedTrial = withEnoughResponses(trial);
        List<double[]> comparedOthers = withEnoughResponses(others);
        int responses = count(comparedTrial);
        if (responses < MIN_COMPARED_RESPONSES || count(comparedOthers) < MIN_COMPARED_RESPONSES) {
            return 0;
        }
        double usualShare = Math.max(MIN_SLOW_SHARE, slowShare(comparedOthers));
        double deviation = Math.sqrt(usualShare * (1 - usualShare) / responses);
        return (slowShare(comparedTrial) - usualShare - ACCEPTED_SHARE) / deviation;
    }

    private static List<double[]> withEnoughResponses(List<double[]> upstreams) {
        return upstreams.stream()
                .filter(octaves -> octaves.length >= MIN_RESPONSES_FOR_SHARE)
                .toList();
    }

    private static double slowShare(Collection<double[]> upstreams) {
        long slow = 0;
        for (double[] octaves : upstreams) {
            double limit = octaves[(int) ((octaves.length - 1) * REFERENCE_QUANTILE)] + SLOW_OCTAVES;
            slow += Arrays.stream(octaves).filter(each -> each > limit).count();
        }
        return (double) slow / count(upstreams);
    }

    private static int count(Collection<double[]> upstreams) {
        return upstreams.stream().mapToInt(octaves -> octaves.length).sum();
    }

    private static double median(double[] sorted) {
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    /** What is measured of a response. */
    public enum Measure {
        /** The time to the first byte. */
        FIRST_BYTE,
        /** The time from one event of a stream to the next. */
        EVENT
    }

    /** How certain it is that a version is slower. */
    public enum Evidence {
        /** Nothing speaks for it. */
        NONE,
        /** It may be slower. */
        SUSPECTED,
        /** It is slower. */
        PROVEN;

        private static Evidence of(double value, double suspectedFrom, double provenFrom) {
            return value >= provenFrom ? PROVEN : value >= suspectedFrom ? SUSPECTED : NONE;
        }

        private Evidence or(Evidence other) {
            return compareTo(other) >= 0 ? this : other;
        }
    }

    /**
     * Identifies the responses of one upstream with about the same time.
     *
     * @param upstream the upstream.
     * @param trial whether it has the version under trial.
     * @param measure what was measured.
     * @param step the logarithm of the time.
     */
    private record Cell(int upstream, boolean trial, Measure measure, int step) {
        static Cell decode(int upstream, int kind) {
            int rest = kind / 2;
            return new Cell(upstream, kind % 2 == 1, Measure.values()[rest % MEASURES], rest / MEASURES);
        }

        /** Returns all but the upstream as one number. */
        int kind() {
            return (step * MEASURES + measure.ordinal()) * 2 + (trial ? 1 : 0);
        }
    }
}
