package org.radishspur.decision.rollout;

import java.util.Collection;

/**
 * Decides whether a version under trial is good, by comparing its answers with those of the other versions, route by
 * route.
 */
public enum RolloutEvaluator {
    /** The only instance; it is stateless. */
    INSTANCE;

    /** Number of failures of the trial version from which its failure share counts. */
    private static final long MIN_FAILURES = 3;

    /**
     * Excess of the trial version's failure share over that of the others that is accepted; a fault in one of ten
     * requests is detected.
     */
    private static final double FAILURE_SHARE_MARGIN = 0.08;

    /** Number of unanswered requests of the trial version from which their share counts; one silence makes a few. */
    private static final long MIN_UNANSWERED = 5;

    /** Ratio of the trial version's share of unanswered requests to that of the others that is accepted. */
    private static final double UNANSWERED_FACTOR = 2;

    /** Share of the period after which the trial ends; the rest is for moving the requests. */
    private static final double TRIAL_SHARE = 0.8;

    /** Share of the period until which the trial goes on while the version may be slower. */
    private static final double PROLONGED_TRIAL_SHARE = 0.9;

    /** Number of answers that the trial version needs before requests move to it. */
    private static final long MIN_ANSWERS = 10;

    /**
     * Decides whether the trial version is good or bad, or whether it is too early to decide.
     *
     * @param routes the outcomes on each route.
     * @param slowness the evidence that its upstreams are slower than those of the other versions.
     * @param elapsed the share of the period that has passed, from 0 to 1.
     * @return the finding.
     */
    public Finding evaluate(Collection<RouteOutcomes> routes, UpstreamTimes.Evidence slowness, double elapsed) {
        long answers = 0;
        for (RouteOutcomes outcomes : routes) {
            answers += outcomes.trial().answers();
            if (isFailing(outcomes)) {
                return Finding.FAILING;
            }
            if (isUnanswering(outcomes)) {
                return Finding.UNANSWERING;
            }
        }
        if (slowness == UpstreamTimes.Evidence.PROVEN) {
            return Finding.SLOW;
        }
        if (elapsed < TRIAL_SHARE) {
            return Finding.UNDECIDED;
        }
        if (answers < MIN_ANSWERS) {
            return Finding.TOO_FEW_ANSWERS;
        }
        if (slowness == UpstreamTimes.Evidence.SUSPECTED) {
            return elapsed < PROLONGED_TRIAL_SHARE ? Finding.UNDECIDED : Finding.PROBABLY_SLOW;
        }
        return Finding.GOOD;
    }

    private static boolean isFailing(RouteOutcomes outcomes) {
        OutcomeCounts trial = outcomes.trial();
        return trial.failures() >= MIN_FAILURES
                && trial.failureShare() > outcomes.others().failureShare() + FAILURE_SHARE_MARGIN;
    }

    /**
     * Returns whether the trial version leaves requests unanswered. Sound upstreams may be silent for a second and are
     * then given up as well, those of all versions alike.
     */
    private static boolean isUnanswering(RouteOutcomes outcomes) {
        OutcomeCounts trial = outcomes.trial();
        return trial.unanswered() >= MIN_UNANSWERED
                && trial.unansweredShare()
                        > UNANSWERED_FACTOR * outcomes.others().unansweredShare() + FAILURE_SHARE_MARGIN;
    }

    /**
     * States the result of a trial so far.
     */
    public enum Finding {
        /** There is not enough evidence yet. */
        UNDECIDED(false),
        /** Requests may move to the version. */
        GOOD(false),
        /** The version fails more often than the others. */
        FAILING(true),
        /** The version leaves more requests unanswered than the others. */
        UNANSWERING(true),
        /** The version is slower than the others. */
        SLOW(true),
        /** The version may be slower than the others, and there is no time for more evidence. */
        PROBABLY_SLOW(true),
        /** The version has hardly answered. */
        TOO_FEW_ANSWERS(true);

        private final boolean bad;

        Finding(boolean bad) {
            this.bad = bad;
        }

        /**
         * Returns whether the version must get no more requests.
         *
         * @return whether it is to be rolled back.
         */
        public boolean isBad() {
            return bad;
        }
    }

    /**
     * Holds the outcomes on one route.
     *
     * @param trial the outcomes of the version under trial.
     * @param others the outcomes of the other versions.
     */
    public record RouteOutcomes(OutcomeCounts trial, OutcomeCounts others) {
        /**
         * Returns the sum of these outcomes and others.
         *
         * @param added the outcomes to add.
         * @return the sum.
         */
        public RouteOutcomes plus(RouteOutcomes added) {
            return new RouteOutcomes(trial.plus(added.trial), others.plus(added.others));
        }
    }

    /**
     * Counts answers and requests without one.
     *
     * @param answers the number of answers, including failures.
     * @param failures the number of failures.
     * @param unanswered the number of requests that were given up without an answer.
     */
    public record OutcomeCounts(long answers, long failures, long unanswered) {
        /** Has no answers. */
        public static final OutcomeCounts NONE = new OutcomeCounts(0, 0, 0);

        /**
         * Returns the sum of these counts and others.
         *
         * @param added the counts to add.
         * @return the sum.
         */
        public OutcomeCounts plus(OutcomeCounts added) {
            return new OutcomeCounts(answers + added.answers, failures + added.failures, unanswered + added.unanswered);
        }

        double unansweredShare() {
            return unanswered == 0 ? 0 : (double) unanswered / (answers + unanswered);
        }

        double failureShare() {
            return answers == 0 ? 0 : (double) failures / answers;
        }
    }
}
