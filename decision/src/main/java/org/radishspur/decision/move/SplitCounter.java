package org.radishspur.decision.move;

/**
 * Limits a new version to its share of a route's requests by counting grants, so that a faulty version gets few
 * requests even on a route with little traffic.
 */
public final class SplitCounter {
    private VersionSplit split;
    private long grants;
    private long grantsToNew;
    private boolean newVersionHalted;

    /**
     * Creates a counter without grants.
     *
     * @param split the split of the route's requests between versions.
     */
    public SplitCounter(VersionSplit split) {
        this.split = split;
    }

    /**
     * Replaces the split. A different split resets the counts, and another move also ends a halt.
     *
     * @param changed the new split.
     */
    public void setSplit(VersionSplit changed) {
        if (changed.moveId() != split.moveId()) {
            newVersionHalted = false;
        }
        if (!changed.equals(split)) {
            grants = 0;
            grantsToNew = 0;
        }
        split = changed;
    }

    /**
     * Returns the split of the route's requests between versions.
     *
     * @return the split.
     */
    public VersionSplit split() {
        return split;
    }

    /** Stops grants to the new version under this move, without waiting for agreement on a rollback. */
    public void haltNewVersion() {
        newVersionHalted = true;
    }

    /**
     * Returns whether the next request may go to the new version.
     *
     * @return whether the new version then has at most one request more than its share.
     */
    public boolean isNewVersionAllowed() {
        if (newVersionHalted || split.share() <= 0) {
            return false;
        }
        return split.share() >= 1 || grantsToNew < 1 + Math.floor(split.share() * grants);
    }

    /**
     * Returns whether the new version has had no more than its share, so that the next request is sent to it.
     *
     * <p>Upstreams are otherwise chosen by their speed. A new version whose first answers are slow, because it has just
     * started, would not be chosen again and never be evaluated.
     *
     * @return whether the next request is to go to the new version.
     */
    public boolean isNewVersionDue() {
        return isNewVersionAllowed() && (split.share() >= 1 || grantsToNew <= Math.floor(split.share() * grants));
    }

    /**
     * Returns whether the next request may go to the old version.
     *
     * @return whether the new version is halted or gets less than every request.
     */
    public boolean isOldVersionAllowed() {
        return newVersionHalted || split.share() < 1;
    }

    /**
     * Counts a granted request.
     *
     * @param toNew whether the request goes to the new version.
     */
    public void recordGrant(boolean toNew) {
        grants++;
        grantsToNew += toNew ? 1 : 0;
    }
}
