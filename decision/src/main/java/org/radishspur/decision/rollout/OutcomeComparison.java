package org.radishspur.decision.rollout;

import java.util.Collection;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * Compares the share of bad outcomes among some requests with that among others, route by route, since routes may differ
 * much in their usual shares.
 */
final class OutcomeComparison {
    /** The outcomes that are assumed for a route of which nothing is known, and the bad part of them. */
    private static final double ASSUMED_REQUESTS = 10;

    private static final double ASSUMED_BAD = 0.5;

    /** The minimum share of bad outcomes that is assumed to be usual. */
    private static final double MIN_USUAL_SHARE = 0.01;

    private final Function<RouteOutcomes, OutcomeCounts> tested;
    private final Function<RouteOutcomes, OutcomeCounts> reference;
    private final ToLongFunction<OutcomeCounts> bad;
    private final ToLongFunction<OutcomeCounts> all;

    /**
     * Creates a comparison.
     *
     * @param tested selects the outcomes to compare.
     * @param reference selects those to compare with.
     * @param bad counts the bad outcomes.
     * @param all counts all outcomes.
     */
    OutcomeComparison(
            Function<RouteOutcomes, OutcomeCounts> tested,
            Function<RouteOutcomes, OutcomeCounts> reference,
            ToLongFunction<OutcomeCounts> bad,
            ToLongFunction<OutcomeCounts> all) {
        this.tested = tested;
        this.reference = reference;
        this.bad = bad;
        this.all = all;
    }

    /** Returns the number of bad outcomes. */
    long bad(Collection<RouteOutcomes> routes) {
        return routes.stream()
                .mapToLong(route -> bad.applyAsLong(tested.apply(route)))
                .sum();
    }

    private long all(Collection<RouteOutcomes> routes) {
        return routes.stream()
                .mapToLong(route -> all.applyAsLong(tested.apply(route)))
                .sum();
    }

    private double usualShare(RouteOutcomes route) {
        OutcomeCounts counts = reference.apply(route);
        return Math.max(
                MIN_USUAL_SHARE,
                (bad.applyAsLong(counts) + ASSUMED_BAD) / (all.applyAsLong(counts) + ASSUMED_REQUESTS));
    }

    /** Returns the number of bad outcomes that the reference lets expect. */
    private double expectedBad(Collection<RouteOutcomes> routes) {
        return routes.stream()
                .mapToDouble(route -> all.applyAsLong(tested.apply(route)) * usualShare(route))
                .sum();
    }

    /** Returns by how much the share of bad outcomes exceeds that of the reference; negative if it is lower. */
    double excess(Collection<RouteOutcomes> routes) {
        long requests = all(routes);
        return requests == 0 ? 0 : (bad(routes) - expectedBad(routes)) / requests;
    }

    /**
     * Returns how certain it is that the share of bad outcomes is higher than that of the reference.
     *
     * @param routes the outcomes.
     * @return the logarithm of the ratio of two likelihoods of both: with a share each, and with the same one; 0 if the
     *     share isn't higher.
     */
    double certainty(Collection<RouteOutcomes> routes) {
        double requests = all(routes);
        double expected = expectedBad(routes);
        double badRequests = bad(routes);
        if (badRequests <= expected || requests == 0) {
            return 0;
        }
        double known = ASSUMED_REQUESTS * routes.size()
                + routes.stream()
                        .mapToLong(route -> all.applyAsLong(reference.apply(route)))
                        .sum();
        double usual = expected / requests;
        double common = (badRequests + usual * known) / (requests + known);
        return requests * divergence(badRequests / requests, common) + known * divergence(usual, common);
    }

    /**
     * Returns how much better a share of bad outcomes explains the outcomes that is higher than usual by a given part of
     * the good ones.
     *
     * @param routes the outcomes.
     * @param faultyShare the part of the good outcomes that would be bad as well, between 0 and 1.
     * @return the logarithm of the ratio of the likelihoods.
     */
    double logRatioOfFault(Collection<RouteOutcomes> routes, double faultyShare) {
        double sum = 0;
        for (RouteOutcomes route : routes) {
            OutcomeCounts counts = tested.apply(route);
            double usual = usualShare(route);
            double faulty = usual + (1 - usual) * faultyShare;
            long badOnRoute = bad.applyAsLong(counts);
            long goodOnRoute = all.applyAsLong(counts) - badOnRoute;
            sum += badOnRoute * Math.log(faulty / usual) + goodOnRoute * Math.log((1 - faulty) / (1 - usual));
        }
        return sum;
    }

    /** Returns the relative entropy of two shares. */
    private static double divergence(double share, double assumed) {
        return term(share, assumed) + term(1 - share, 1 - assumed);
    }

    private static double term(double share, double assumed) {
        return share <= 0 ? 0 : share * Math.log(share / assumed);
    }
}
