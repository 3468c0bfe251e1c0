package org.radishspur.decision.move;

/**
 * Keeps a new version to its share by counting, so that a bad one sees little even when there are few requests.
 */
public final class SplitCounter {
    private VersionSplit split;
    private long granted;
    private long grantedNew;
    private boolean halted;

    /**
     * Creates a counter.
     *
     * @param split which versions serve the route.
     */
    public SplitCounter(VersionSplit split) {
        this.split = split;
    }

    /**
     * Takes over a changed split; the counts begin anew with each share.
     *
     * @param changed the split.
     */
    public void change(VersionSplit changed) {
        if (changed.moveId() != split.moveId()) {
            halted = false;
        }
        if (!changed.equals(split)) {
            granted = 0;
            grantedNew = 0;
        }
        split = changed;
    }

    /**
     * Returns which versions serve the route.
     *
     * @return the split.
     */
    public VersionSplit split() {
        return split;
    }

    /** Gives the new version nothing more under this move, without waiting for anybody's agreement. */
    public void halt() {
        halted = true;
    }

    /**
     * Returns whether the next request may go to the new version.
     *
     * @return whether it may.
     */
    public boolean mayUseNew() {
        if (halted || split.share() <= 0) {
            return false;
        }
        return split.share() >= 1 || grantedNew < 1 + Math.floor(split.share() * granted);
    }

    /**
     * Returns whether the new version has had less than its share, so that the next request is to go there.
     *
     * <p>Guards against a move without evidence: a new version whose first answers are slow, because it has just started,
     * would never be chosen again for its speed and so never be evaluated.
     *
     * @return whether the next request is due to the new version.
     */
    public boolean isNewDue() {
        return mayUseNew() && (split.share() >= 1 || grantedNew <= Math.floor(split.share() * granted));
    }

    /**
     * Returns whether the next request may go to the old version.
     *
     * @return whether it may.
     */
    public boolean mayUseOld() {
        return halted || split.share() < 1;
    }

    /**
     * Counts a granted request.
     *
     * @param toNew whether it goes to the new version.
     */
    public void granted(boolean toNew) {
        granted++;
        grantedNew += toNew ? 1 : 0;
    }
}
