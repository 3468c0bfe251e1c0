package org.radishspur.model.catalogue;

import java.util.Set;

/**
 * Describes one organisation that calls the system.
 *
 * @param name the name of the organisation.
 * @param keys the keys that its callers show.
 * @param priority the rank of all its requests, or a negative number where the route's rank counts.
 * @param ratePerSecond what it may use a second, in tokens or requests; 0 for no limit.
 * @param burst what it may use at once beyond the rate, in the same unit.
 * @param countsTokens whether its limit counts tokens; else it counts requests.
 * @param plainTokens what a request counts that states no tokens.
 */
public record OrganisationRule(
        String name,
        Set<String> keys,
        int priority,
        double ratePerSecond,
        double burst,
        boolean countsTokens,
        long plainTokens) {

    /** Copies the keys. */
    public OrganisationRule {
        keys = Set.copyOf(keys);
    }

    /**
     * Tells what a request takes from the organisation's limit.
     *
     * @param tokens the tokens that the request states, or 0.
     * @return its cost in the unit of the limit.
     */
    public double cost(long tokens) {
        if (!countsTokens) {
            return 1;
        }
        return tokens > 0 ? tokens : plainTokens;
    }

    /**
     * Returns this rule with a part of its limit.
     *
     * @param part the part, from 0 to 1.
     * @return the changed rule.
     */
    public OrganisationRule withPart(double part) {
        return new OrganisationRule(
                name, keys, priority, ratePerSecond * part, burst * part, countsTokens, plainTokens);
    }
}
