package org.radishspur.decision.rollout;

import java.util.Collection;

/**
 * Holds what a trial has shown so far.
 *
 * @param all all outcomes, by route.
 * @param undisturbed those of the time in which the other versions failed no more than before the rollout; the others'
 *     outcomes include those before the rollout.
 * @param recent the latest of the undisturbed ones, or those since all requests move, with the same others.
 * @param disturbed the outcomes since the other versions began to fail more than before, if they still do.
 * @param slowness the evidence that the version's upstreams are slower than those of the other versions.
 */
public record TrialEvidence(
        Collection<RouteOutcomes> all,
        Collection<RouteOutcomes> undisturbed,
        Collection<RouteOutcomes> recent,
        Collection<RouteOutcomes> disturbed,
        UpstreamTimes.Evidence slowness) {}
