package org.radishspur.decision.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.rollout.RolloutEvaluator.Finding;
import org.radishspur.decision.rollout.UpstreamTimes.Evidence;

/**
 * Follows the trial of one version and the move of all requests to it.
 */
public final class RolloutTrial {
    /**
     * The number of bad outcomes beside disturbances from which the trial pauses while a disturbance lasts: they show
     * nothing, and callers have them all the same.
     */
    private static final long MAX_UNCERTAIN_BAD = 20;

    /** The number of requests from which the trial of a version that is suspected to be slow pauses. */
    private static final long MAX_SUSPECTED_REQUESTS = 30;

    /** How long all requests go to the version before old upstreams may stop, in milliseconds, and how many at least. */
    private static final long MOVE_MILLIS = 600;

    private static final long MIN_MOVED_REQUESTS = 20;

    /** The share of the period after which a move ends whatever the number of requests was. */
    private static final double END_OF_MOVE = 0.95;

    private final TrialHistory history = new TrialHistory();
    private final TrialTimes trialTimes = new TrialTimes();
    private Evidence slowness = Evidence.NONE;
    private Map<String, RouteOutcomes> movedFrom = Map.of();
    private long movingSince = Long.MIN_VALUE;
    private boolean paused;

    /**
     * Evaluates the outcomes so far.
     *
     * @param outcomes the outcomes since the start of the rollout, by route.
     * @param times the response times since the start of the rollout, and some from before.
     * @param elapsed the share of the period that has passed, from 0 to 1.
     * @param now the monotonic clock in milliseconds.
     * @param moving whether all requests move to the version by now.
     * @return the finding.
     */
    public Finding evaluate(
            Map<String, RouteOutcomes> outcomes, UpstreamTimes times, double elapsed, long now, boolean moving) {
        trialTimes.update(times, history.update(outcomes, now));
        if (moving && !isMoving()) {
            movingSince = now;
            movedFrom = history.all();
        }
        // While all requests move to the version, its upstreams are busier than the others.
        slowness = isMoving() ? Evidence.NONE : slowness(elapsed);
        TrialEvidence evidence = new TrialEvidence(
                history.all().values(),
                history.undisturbed(),
                isMoving() ? outcomesOfMove() : history.recent(),
                history.disturbed(),
                slowness);
        Finding finding = RolloutEvaluator.INSTANCE.evaluate(evidence, elapsed);
        boolean uncertain = history.isDisturbed() && history.uncertainBad() >= MAX_UNCERTAIN_BAD;
        boolean suspected = slowness == Evidence.SUSPECTED && requests(outcomes) >= MAX_SUSPECTED_REQUESTS;
        paused = uncertain || suspected;
        return finding;
    }

    private Evidence slowness(double elapsed) {
        return elapsed < RolloutEvaluator.TRIAL_SHARE ? trialTimes.slowness() : trialTimes.finalSlowness();
    }

    /** Returns the outcomes since the move began, or none if it began beside a disturbance, which may go on unseen. */
    private Collection<RouteOutcomes> outcomesOfMove() {
        return history.isDisturbed() ? List.of() : history.withReference(history.since(movedFrom));
    }

    private static long requests(Map<String, RouteOutcomes> outcomes) {
        return outcomes.values().stream()
                .mapToLong(route -> route.trial().requests())
                .sum();
    }

    /**
     * Returns whether the version should get no requests for now, since they cost callers more than they show.
     *
     * @return whether the trial pauses.
     */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Returns the latest evidence that the version's upstreams are slower.
     *
     * @return the evidence.
     */
    public Evidence slowness() {
        return slowness;
    }

    private boolean isMoving() {
        return movingSince != Long.MIN_VALUE;
    }

    /**
     * Returns whether enough requests have moved to the version.
     *
     * @param elapsed the share of the period that has passed, from 0 to 1.
     * @param now the monotonic clock in milliseconds.
     * @return whether the old upstreams may stop, unless the version is found bad.
     */
    public boolean isMoved(double elapsed, long now) {
        return isMoving()
                && now - movingSince > MOVE_MILLIS
                && (elapsed >= END_OF_MOVE || requests(history.since(movedFrom)) >= MIN_MOVED_REQUESTS);
    }
}
