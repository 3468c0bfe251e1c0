package org.radishspur.decision.rollout;

/**
 * Holds the outcomes of requests on one route.
 *
 * @param trial the outcomes of the version under trial.
 * @param others the outcomes of the other versions during the trial.
 * @param before the outcomes of all versions in the time before the rollout was ordered.
 */
public record RouteOutcomes(OutcomeCounts trial, OutcomeCounts others, OutcomeCounts before) {
    /** Has no outcomes. */
    public static final RouteOutcomes NONE =
            new RouteOutcomes(OutcomeCounts.NONE, OutcomeCounts.NONE, OutcomeCounts.NONE);

    /**
     * Creates outcomes on a route that had no requests before the rollout.
     *
     * @param trial the outcomes of the version under trial.
     * @param others the outcomes of the other versions.
     */
    public RouteOutcomes(OutcomeCounts trial, OutcomeCounts others) {
        this(trial, others, OutcomeCounts.NONE);
    }

    /**
     * Returns the sum of these outcomes and others.
     *
     * @param added the outcomes to add.
     * @return the sum.
     */
    public RouteOutcomes plus(RouteOutcomes added) {
        return new RouteOutcomes(trial.plus(added.trial), others.plus(added.others), before.plus(added.before));
    }

    /** Returns what was added since an earlier state; the outcomes before the rollout stay. */
    RouteOutcomes since(RouteOutcomes earlier) {
        return new RouteOutcomes(trial.minus(earlier.trial), others.minus(earlier.others), before);
    }
}
