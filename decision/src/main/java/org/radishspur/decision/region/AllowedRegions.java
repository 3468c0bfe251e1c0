package org.radishspur.decision.region;

import java.util.HashSet;
import java.util.Set;

/**
 * Holds the regions in which a request may be served.
 *
 * @param limited whether the request is limited to some regions.
 * @param regions the names of these regions; none where no region satisfies all who state some.
 */
public record AllowedRegions(boolean limited, Set<String> regions) {
    /** Allows every region. */
    public static final AllowedRegions EVERYWHERE = new AllowedRegions(false, Set.of());

    /** Copies the regions. */
    public AllowedRegions {
        regions = Set.copyOf(regions);
    }

    /**
     * Combines what a route and an organisation state; where both state regions, both bind.
     *
     * @param ofRoute the regions that the route states; empty for all.
     * @param ofOrganisation the regions that the organisation states; empty for all.
     * @return the regions that both allow.
     */
    public static AllowedRegions of(Set<String> ofRoute, Set<String> ofOrganisation) {
        if (ofRoute.isEmpty() && ofOrganisation.isEmpty()) {
            return EVERYWHERE;
        }
        Set<String> both = new HashSet<>(ofRoute.isEmpty() ? ofOrganisation : ofRoute);
        if (!ofOrganisation.isEmpty()) {
            both.retainAll(ofOrganisation);
        }
        return new AllowedRegions(true, both);
    }

    /**
     * Returns whether a region is allowed.
     *
     * @param region the name of the region.
     * @return whether it is.
     */
    public boolean allows(String region) {
        return !limited || regions.contains(region);
    }
}
