package org.radishspur.decision.rollout;

import java.util.Collection;
import java.util.List;

/**
 * Decides whether a version under trial is good, by comparing its answers with those of the other versions, route by
 * route. A version is good only if its outcomes are more likely from a sound version than from a faulty one; a lack of
 * evidence is no evidence that it is sound.
 */
public enum RolloutEvaluator {
    /** The only instance; it is stateless. */
    INSTANCE;

    /** Number of failures of the trial version from which its failure share counts. */
    private static final long MIN_FAILURES = 3;

    /** Excess of the trial version's share of bad outcomes over that of the others that is accepted. */
    private static final double SHARE_MARGIN = 0.08;

    /** Number of unanswered requests of the trial version from which their share counts; one silence makes a few. */
    private static final long MIN_UNANSWERED = 5;

    /** Ratio of the trial version's share of unanswered requests to that of the others that is accepted. */
    private static final double UNANSWERED_FACTOR = 2;

    /** The logarithm of the likelihood ratio from which a higher share of failures is no chance. */
    private static final double PROVEN_LOG_RATIO = 6.5;

    /** The same for unanswered requests, of which one silence makes several at once. */
    private static final double PROVEN_LOG_RATIO_OF_UNANSWERED = 12;

    /** The share of requests that a version fails that must be told from a sound one before requests move. */
    private static final double FAULTY_SHARE = 0.2;

    /** The logarithm of the likelihood ratio from which a version may be such a one. */
    private static final double SUSPECTED_LOG_RATIO = Math.log(3);

    /** Share of the period after which the trial ends; the rest is for moving the requests. */
    static final double TRIAL_SHARE = 0.8;

    /** Share of the period until which the trial goes on while the version may be bad. */
    private static final double PROLONGED_TRIAL_SHARE = 0.9;

    /** Number of answers that the trial version needs before requests move to it. */
    private static final long MIN_ANSWERS = 10;

    private static final OutcomeComparison FAILURES = new OutcomeComparison(
            RouteOutcomes::trial, RouteOutcomes::others, OutcomeCounts::failures, OutcomeCounts::answers);
    private static final OutcomeComparison UNANSWERED = new OutcomeComparison(
            RouteOutcomes::trial, RouteOutcomes::others, OutcomeCounts::unanswered, OutcomeCounts::requests);
    private static final OutcomeComparison BAD = new OutcomeComparison(
            RouteOutcomes::trial, RouteOutcomes::others, OutcomeCounts::bad, OutcomeCounts::requests);
    private static final OutcomeComparison BAD_BY_USUAL = new OutcomeComparison(
            RouteOutcomes::trial, RouteOutcomes::before, OutcomeCounts::bad, OutcomeCounts::requests);

    /**
     * Decides whether the trial version is good or bad, or whether it is too early to decide.
     *
     * @param evidence what the trial has shown so far.
     * @param elapsed the share of the period that has passed, from 0 to 1.
     * @return the finding.
     */
    public Finding evaluate(TrialEvidence evidence, double elapsed) {
        if (isFailing(evidence.all()) || isFailing(evidence.undisturbed()) || isFailing(evidence.recent())) {
            return Finding.FAILING;
        }
        if (isUnanswering(evidence.all()) || isUnanswering(evidence.undisturbed())) {
            return Finding.UNANSWERING;
        }
        if (evidence.slowness() == UpstreamTimes.Evidence.PROVEN) {
            return Finding.SLOW;
        }
        if (elapsed < TRIAL_SHARE) {
            return Finding.UNDECIDED;
        }
        if (answers(evidence.all()) < MIN_ANSWERS) {
            return Finding.TOO_FEW_ANSWERS;
        }
        if (evidence.slowness() == UpstreamTimes.Evidence.SUSPECTED) {
            return elapsed < PROLONGED_TRIAL_SHARE ? Finding.UNDECIDED : Finding.PROBABLY_SLOW;
        }
        if (mayBeFailing(evidence)) {
            return elapsed < PROLONGED_TRIAL_SHARE ? Finding.UNDECIDED : Finding.PROBABLY_FAILING;
        }
        return Finding.GOOD;
    }

    private static long answers(Collection<RouteOutcomes> routes) {
        return routes.stream().mapToLong(route -> route.trial().answers()).sum();
    }

    /** Returns whether the trial version fails more than the others, on one route or on all together. */
    private static boolean isFailing(Collection<RouteOutcomes> routes) {
        return isFailingOn(routes)
                || routes.size() > 1 && routes.stream().anyMatch(route -> isFailingOn(List.of(route)));
    }

    private static boolean isFailingOn(Collection<RouteOutcomes> routes) {
        return FAILURES.bad(routes) >= MIN_FAILURES
                && FAILURES.excess(routes) > SHARE_MARGIN
                && FAILURES.certainty(routes) >= PROVEN_LOG_RATIO;
    }

    /**
     * Returns whether the trial version leaves requests unanswered. Sound upstreams may be silent for a second and are
     * then given up as well, those of all versions alike.
     */
    private static boolean isUnanswering(Collection<RouteOutcomes> routes) {
        return routes.stream().anyMatch(RolloutEvaluator::isUnanswering);
    }

    private static boolean isUnanswering(RouteOutcomes route) {
        OutcomeCounts trial = route.trial();
        OutcomeCounts others = route.others();
        return trial.unanswered() >= MIN_UNANSWERED
                && unansweredShare(trial) > UNANSWERED_FACTOR * unansweredShare(others) + SHARE_MARGIN
                && UNANSWERED.certainty(List.of(route)) >= PROVEN_LOG_RATIO_OF_UNANSWERED;
    }

    private static double unansweredShare(OutcomeCounts counts) {
        return counts.unanswered() == 0 ? 0 : (double) counts.unanswered() / counts.requests();
    }

    /**
     * Returns whether the outcomes are more likely from a faulty version than from a sound one. What a disturbance may hide
     * is compared with what was usual before the rollout.
     */
    private static boolean mayBeFailing(TrialEvidence evidence) {
        boolean enough = answers(evidence.undisturbed()) >= MIN_ANSWERS;
        return isSuspected(enough ? BAD : BAD_BY_USUAL, enough ? evidence.undisturbed() : evidence.all())
                || isSuspected(BAD_BY_USUAL, evidence.disturbed());
    }

    private static boolean isSuspected(OutcomeComparison comparison, Collection<RouteOutcomes> routes) {
        return comparison.logRatioOfFault(routes, FAULTY_SHARE) > SUSPECTED_LOG_RATIO;
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
        /** The version may fail more often than a sound one, and there is no time for more evidence. */
        PROBABLY_FAILING(true),
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
}
