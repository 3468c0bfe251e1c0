package org.radishspur.decision.move;

/**
 * Compares the outcomes of a new version with those of the old one on the same route over the same time. It detects a
 * new version that fails outright, fails more often, or is slower.
 *
 * <p>Logarithms are natural. The slowness of an answer is its duration divided by the expected duration of such a
 * request.
 */
public final class VersionComparison {
    /** The sum of log likelihood ratios that proves a higher failure rate. */
    private static final double FAILURE_THRESHOLD = 13;

    /** The sum of log likelihood ratios that proves slowness. */
    private static final double SLOWNESS_THRESHOLD = 14;

    /** The minimum failure rate that is assumed for the old version, as a share of its requests. */
    private static final double MIN_FAILURE_RATE = 0.001;

    /** The old version's failure rate starts at one failure in this number of assumed outcomes. */
    private static final double FAILURE_PRIOR_OUTCOMES = 1_000;

    /** The failure rate of a faulty version, as a multiple of the old version's rate. */
    private static final double FAULTY_FAILURE_FACTOR = 8;

    /** The minimum failure rate of a faulty version, as a share of its requests. */
    private static final double MIN_FAULTY_FAILURE_RATE = 0.01;

    /**
     * The logarithm of the slowness to detect. Up to half of it counts against a fault, because an upstream that gets
     * few requests takes a tenth longer than a busy one of the same version: its caches and connections are cold.
     */
    private static final double FAULTY_LOG_SLOWNESS = Math.log(1.2);

    /**
     * The minimum standard deviation that is assumed for the log slowness of one version. Durations in a pool with
     * little load differ so little that a constant difference of a few milliseconds would otherwise prove a good
     * version slow.
     */
    private static final double MIN_LOG_DEVIATION = 0.2;

    /** The standard deviation of log slowness that is assumed before the first answer of the old version. */
    private static final double INITIAL_LOG_DEVIATION = 0.4;

    /** The logarithm of the additional slowness that is allowed to the first answer of an upstream. */
    private static final double INITIAL_WARM_UP_LOG_SLOWNESS = Math.log(1.5);

    /** The number of answers after which the allowance for warm-up has fallen to about a third (1/e). */
    private static final double WARM_UP_ANSWERS = 60;

    /** Limits the influence of one answer: the excess log slowness, and the squared deviation in the variance. */
    private static final double OUTLIER_LIMIT = 2;

    /** The maximum evidence of slowness from one period, since a stall of the host slows all answers of the period. */
    private static final double MAX_EVIDENCE_PER_PERIOD = SLOWNESS_THRESHOLD / 10;

    /** The length of such a period, in milliseconds. */
    private static final long EVIDENCE_PERIOD_MILLIS = 1_000;

    /** The minimum weight of a new answer in the old version's mean and variance. */
    private static final double MIN_AVERAGE_GAIN = 0.004;

    /** The number of outcomes of the old version before durations are compared. */
    private static final int MIN_OLD_OUTCOMES = 20;

    /** Below this failure rate of the old version, a share of its requests, failures count as rare. */
    private static final double RARE_FAILURE_RATE = 0.02;

    /** The number of failures before the first success that proves a fault if failures of the old version are rare. */
    private static final int INITIAL_FAILURES_LIMIT_IF_RARE = 1;

    /**
     * The number of failures before the first success that proves a fault if failures of the old version are common.
     */
    private static final int INITIAL_FAILURES_LIMIT = 3;

    /** The number of consecutive failures that proves a fault at any time. */
    private static final int CONSECUTIVE_FAILURES_LIMIT = 4;

    private final Cusum failureTest = new Cusum(FAILURE_THRESHOLD);
    private final Cusum slownessTest = new Cusum(SLOWNESS_THRESHOLD);
    private double oldMean;
    private double oldVariance = INITIAL_LOG_DEVIATION * INITIAL_LOG_DEVIATION;
    private long oldOutcomes;
    private long oldFailures;
    private long newSuccesses;
    private long consecutiveFailures;
    private long outcomesInStage;
    private long currentPeriod = Long.MIN_VALUE;
    private double periodEvidence;

    /**
     * Records the outcome of a request to the old version.
     *
     * @param failed whether the request failed.
     * @param logSlowness the logarithm of the request's duration divided by the expected duration; ignored if it
     *     failed.
     */
    public void observeOld(boolean failed, double logSlowness) {
        oldOutcomes++;
        oldFailures += failed ? 1 : 0;
        if (!failed) {
            double gain = Math.max(MIN_AVERAGE_GAIN, 1.0 / oldOutcomes);
            double difference = logSlowness - oldMean;
            oldMean += gain * difference;
            oldVariance += gain * (Math.min(difference * difference, OUTLIER_LIMIT) - oldVariance);
        }
    }

    /**
     * Records the outcome of a request to the new version.
     *
     * @param failed whether the request failed.
     * @param logSlowness the logarithm of the request's duration divided by the expected duration; ignored if it
     *     failed.
     * @param earlierAnswers the number of earlier answers of the same upstream.
     * @param now the current time in milliseconds.
     */
    public void observeNew(boolean failed, double logSlowness, int earlierAnswers, long now) {
        outcomesInStage++;
        newSuccesses += failed ? 0 : 1;
        consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
        double oldRate = oldFailureRate();
        double faultyRate = Math.min(0.5, Math.max(MIN_FAULTY_FAILURE_RATE, FAULTY_FAILURE_FACTOR * oldRate));
        failureTest.add(failed ? Math.log(faultyRate / oldRate) : Math.log((1 - faultyRate) / (1 - oldRate)));
        if (!failed && oldOutcomes >= MIN_OLD_OUTCOMES) {
            double variance = Math.max(MIN_LOG_DEVIATION * MIN_LOG_DEVIATION, oldVariance);
            double excessSlowness = logSlowness - oldMean - warmUpLogSlowness(earlierAnswers);
            double limitedSlowness = Math.max(-OUTLIER_LIMIT, Math.min(OUTLIER_LIMIT, excessSlowness));
            addSlownessEvidence(FAULTY_LOG_SLOWNESS / variance * (limitedSlowness - FAULTY_LOG_SLOWNESS / 2), now);
        }
    }

    /**
     * Adds evidence of slowness, up to the limit for one period.
     *
     * <p>Without the limit a good version would be rolled back for one stall of its host, which slows all answers while
     * it lasts.
     */
    private void addSlownessEvidence(double evidence, long now) {
        if (now / EVIDENCE_PERIOD_MILLIS != currentPeriod) {
            currentPeriod = now / EVIDENCE_PERIOD_MILLIS;
            periodEvidence = 0;
        }
        double bounded = Math.min(evidence, MAX_EVIDENCE_PER_PERIOD - periodEvidence);
        periodEvidence = Math.max(0, periodEvidence + bounded);
        slownessTest.add(bounded);
    }

    /**
     * Returns the logarithm of the additional slowness that is allowed while an upstream warms up.
     *
     * <p>Its code isn't compiled yet and its caches are empty, so its first hundred answers are slower than those of
     * the old version, the more so on a busy host. Without the allowance a good version would be rolled back.
     */
    private static double warmUpLogSlowness(int earlierAnswers) {
        return INITIAL_WARM_UP_LOG_SLOWNESS * Math.exp(-earlierAnswers / WARM_UP_ANSWERS);
    }

    private double oldFailureRate() {
        return Math.max(MIN_FAILURE_RATE, (oldFailures + 1) / (oldOutcomes + FAILURE_PRIOR_OUTCOMES));
    }

    /** Resets the number of outcomes for a new stage; the evidence of a fault stays. */
    public void beginStage() {
        outcomesInStage = 0;
    }

    /**
     * Returns how many outcomes of the new version were recorded in this stage.
     *
     * @return the number of outcomes, failures included.
     */
    public long outcomesInStage() {
        return outcomesInStage;
    }

    /**
     * Returns the evidence that the new version fails more often or is slower.
     *
     * @return the evidence as a share of what proves a fault; 0 without evidence, 1 or more if a fault is detected.
     */
    public double evidenceLevel() {
        return Math.max(failureTest.thresholdShare(), slownessTest.thresholdShare());
    }

    /**
     * Returns the fault that was detected.
     *
     * @return the reason for a rollback, or {@link RollbackReason#NONE} without a fault.
     */
    public RollbackReason detectedFault() {
        int initialFailuresLimit =
                oldFailureRate() < RARE_FAILURE_RATE ? INITIAL_FAILURES_LIMIT_IF_RARE : INITIAL_FAILURES_LIMIT;
        boolean failsOutright = newSuccesses == 0 && consecutiveFailures >= initialFailuresLimit
                || consecutiveFailures >= CONSECUTIVE_FAILURES_LIMIT;
        if (failsOutright) {
            return RollbackReason.FAILS_OUTRIGHT;
        }
        if (failureTest.isChangeDetected()) {
            return RollbackReason.FAILS_MORE;
        }
        return slownessTest.isChangeDetected() ? RollbackReason.SLOWER : RollbackReason.NONE;
    }
}
