package org.radishspur.decision.move;

/**
 * Says which versions serve a route.
 *
 * @param moveId the move that splits the route, or 0 where the route simply uses one version.
 * @param from the old version.
 * @param to the new version, or an empty text where any version will do.
 * @param share the greatest share of the requests that the new version may get.
 */
public record VersionSplit(long moveId, String from, String to, double share) {
    /** Lets any upstream serve the route. */
    public static final VersionSplit ANY = new VersionSplit(0, "", "", 1);

    /**
     * Returns whether an upstream may serve a request that goes to one of the two sides.
     *
     * @param version the version that the upstream runs.
     * @param toNew whether the request goes to the new version.
     * @return whether the versions fit.
     */
    public boolean allows(String version, boolean toNew) {
        String wanted = toNew ? to : from;
        return wanted.isEmpty() || wanted.equals(version);
    }
}
