package org.radishspur.model.catalogue;

import java.util.Set;

/**
 * Describes one organisation: its API keys, the priority of its requests and its rate limit.
 *
 * @param name the name of the organisation.
 * @param keys the API keys with which its callers authenticate.
 * @param priority the priority of all its requests, 0 being the most urgent; a negative number selects the route's
 *     priority.
 * @param ratePerSecond the rate limit, in tokens or requests per second; 0 for no limit.
 * @param burst the burst that is allowed on top of the rate, in tokens or requests.
 * @param countsTokens whether the rate limit counts tokens; if not, it counts requests.
 * @param defaultTokens the number of tokens that is charged for a request that doesn't state any.
 * @param allowedRegions the regions in which its requests may be served; empty for all.
 */
public record OrganisationRule(
        String name,
        Set<String> keys,
        int priority,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        long defaultTokens,
        Set<String> allowedRegions) {

    /** Copies the keys and the regions. */
    public OrganisationRule {
        keys = Set.copyOf(keys);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates a rule without regions.
     *
     * @param name the name of the organisation.
     * @param keys the API keys with which its callers authenticate.
     * @param priority the priority of all its requests; a negative number selects the route's priority.
     * @param ratePerSecond the rate limit, in tokens or requests per second; 0 for no limit.
     * @param burst the burst that is allowed on top of the rate, in tokens or requests.
     * @param countsTokens whether the rate limit counts tokens; if not, it counts requests.
     * @param defaultTokens the number of tokens that is charged for a request that doesn't state any.
     */
    public OrganisationRule(
            String name,
            Set<String> keys,
            int priority,
            double ratePerSecond,
            double burst,
            boolean countsTokens,
            long defaultTokens) {
        this(name, keys, priority, ratePerSecond, burst, countsTokens, defaultTokens, Set.of());
    }

    /**
     * Returns the cost of a request under the organisation's rate limit.
     *
     * @param tokens the number of tokens that the request states, or 0 if it states none.
     * @return the cost in the unit of the limit, that is, tokens or requests.
     */
    public double cost(long tokens) {
        if (!countsTokens) {
            return 1;
        }
        return tokens > 0 ? tokens : defaultTokens;
    }

    /**
     * Returns a copy of this rule with a share of its rate limit and burst.
     *
     * @param share the share, from 0 to 1.
     * @return the scaled rule.
     */
    public OrganisationRule withShare(double share) {
        return new OrganisationRule(
                name,
                keys,
                priority,
                ratePerSecond * share,
                burst * share,
                countsTokens,
                defaultTokens,
                allowedRegions);
    }

    /**
     * Returns a copy of this rule with other regions.
     *
     * @param regions the regions in which the requests of the organisation may be served; empty for all.
     * @return the changed rule.
     */
    public OrganisationRule withAllowedRegions(Set<String> regions) {
        return new OrganisationRule(name, keys, priority, ratePerSecond, burst, countsTokens, defaultTokens, regions);
    }
}
