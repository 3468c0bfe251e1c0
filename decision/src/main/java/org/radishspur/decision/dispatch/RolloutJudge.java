package org.radishspur.decision.dispatch;

import java.util.Collection;

/**
 * Judges a version under trial by comparing what it answers with what the versions beside it answer, route by route.
 */
public enum RolloutJudge {
    /** The only instance; the judge keeps no state. */
    INSTANCE;

    /** So many failures of the trial version are needed before its share of failures counts. */
    private static final long MIN_FAILURES = 3;

    /** By how much the trial version may fail more often than the others; a fault of one in ten shows. */
    private static final double FAILURE_SHARE_MARGIN = 0.08;

    /** So many answers of both sides are needed before times count. */
    private static final long MIN_TIMED_ANSWERS = 8;

    /**
     * How many times as long the trial version may take. Sound upstreams of one pool differ by up to four and a half
     * times, and a few upstreams of a version may all be of the slowest kind.
     */
    private static final double SLOW_FACTOR = 5;

    /** The trial ends at this share of its period; the rest is for moving the requests. */
    private static final double TRIAL_SHARE = 0.8;

    /** So many good answers must stand behind a move to the version. */
    private static final long MIN_ANSWERS = 10;

    /**
     * Judges a version.
     *
     * @param routes what is known of each route.
     * @param elapsed the part of the period that has gone by.
     * @return the verdict.
     */
    public Verdict judge(Collection<Evidence> routes, double elapsed) {
        long answers = 0;
        for (Evidence evidence : routes) {
            answers += evidence.trial().answers();
            if (isFailing(evidence) || isSlow(evidence)) {
                return Verdict.BAD;
            }
        }
        if (elapsed < TRIAL_SHARE) {
            return Verdict.OPEN;
        }
        return answers >= MIN_ANSWERS ? Verdict.GOOD : Verdict.BAD;
    }

    private static boolean isFailing(Evidence evidence) {
        Side trial = evidence.trial();
        return trial.failures() >= MIN_FAILURES
                && trial.failureShare() > evidence.others().failureShare() + FAILURE_SHARE_MARGIN;
    }

    private static boolean isSlow(Evidence evidence) {
        Side trial = evidence.trial();
        Side others = evidence.others();
        if (trial.answers() < MIN_TIMED_ANSWERS || others.answers() < MIN_TIMED_ANSWERS) {
            return false;
        }
        return trial.meanMillis() > SLOW_FACTOR * Math.max(1, others.meanMillis());
    }

    /**
     * Says what is known of a version under trial.
     */
    public enum Verdict {
        /** It is too early to tell. */
        OPEN,
        /** The requests may move. */
        GOOD,
        /** The version is to get nothing more. */
        BAD
    }

    /**
     * Holds what was seen of one route.
     *
     * @param trial the version under trial.
     * @param others the versions beside it.
     */
    public record Evidence(Side trial, Side others) {}

    /**
     * Counts answers.
     *
     * @param answers all answers.
     * @param failures the failed ones.
     * @param millis the sum of their times in milliseconds.
     */
    public record Side(long answers, long failures, double millis) {
        /** Counts nothing. */
        public static final Side NONE = new Side(0, 0, 0);

        /**
         * Adds counts.
         *
         * @param added the counts to add.
         * @return the sum.
         */
        public Side plus(Side added) {
            return new Side(answers + added.answers, failures + added.failures, millis + added.millis);
        }

        double failureShare() {
            return answers == 0 ? 0 : (double) failures / answers;
        }

        double meanMillis() {
            return answers == 0 ? 0 : millis / answers;
        }
    }
}
