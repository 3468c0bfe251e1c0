package org.radishspur.decision.move;

/**
 * Describes how the requests of a route are split between an old and a new version.
 *
 * @param moveId the id of the move that causes the split, or 0 if the route uses one version.
 * @param from the old version, or an empty string if the route uses one version.
 * @param to the new version, or an empty string if any version may serve the route.
 * @param share the maximum share of the requests that the new version may get, from 0 to 1.
 */
public record VersionSplit(long moveId, String from, String to, double share) {
    /** Lets any upstream serve the route. */
    public static final VersionSplit ANY = new VersionSplit(0, "", "", 1);

    /**
     * Returns whether an upstream may serve a request for the old or for the new version.
     *
     * @param version the version that the upstream runs.
     * @param toNew whether the request is for the new version; otherwise it is for the old one.
     * @return whether the upstream's version is the required one, or any version may serve the request.
     */
    public boolean allows(String version, boolean toNew) {
        String required = toNew ? to : from;
        return required.isEmpty() || required.equals(version);
    }
}
