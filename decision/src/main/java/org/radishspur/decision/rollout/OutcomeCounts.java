package org.radishspur.decision.rollout;

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

    OutcomeCounts minus(OutcomeCounts earlier) {
        return new OutcomeCounts(
                answers - earlier.answers, failures - earlier.failures, unanswered - earlier.unanswered);
    }

    /** Returns the number of requests, answered or not. */
    long requests() {
        return answers + unanswered;
    }

    /** Returns the number of requests that failed or got no answer. */
    long bad() {
        return failures + unanswered;
    }
}
