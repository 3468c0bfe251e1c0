package org.radishspur.decision.region;

import java.util.List;
import java.util.Map;

/**
 * Holds the regions of failure domains, as the settings of a process state them.
 *
 * @param ownRegion the region of this process, empty if the settings don't state it.
 * @param regionByDomain the regions by failure domain.
 */
public record RegionMap(String ownRegion, Map<String, String> regionByDomain) {
    /** Holds no region. */
    public static final RegionMap NONE = new RegionMap("", Map.of());

    /** Copies the regions. */
    public RegionMap {
        regionByDomain = Map.copyOf(regionByDomain);
    }

    /**
     * Returns the failure domains that lie in allowed regions. One whose region isn't known lies in none.
     *
     * @param allowed the allowed regions, which must be limited.
     * @return the failure domains in alphabetical order; none if no upstream may run the request.
     */
    public List<String> domainsIn(AllowedRegions allowed) {
        return regionByDomain.entrySet().stream()
                .filter(entry -> allowed.allows(entry.getValue()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Returns whether any host may carry the body of a request: each known failure domain lies in an allowed region or
     * in that of this process, to which the caller has connected. It doesn't matter then which host it is, whose failure
     * domain other processes don't know.
     *
     * @param allowed the allowed regions.
     * @return whether the request may pass through other hosts.
     */
    public boolean allowsAnyHost(AllowedRegions allowed) {
        return !allowed.limited()
                || !regionByDomain.isEmpty()
                        && regionByDomain.values().stream()
                                .allMatch(region -> allowed.allows(region) || region.equals(ownRegion));
    }
}
