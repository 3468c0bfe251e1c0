package org.radishspur.decision.move;

/**
 * Names the steps by which the share of a new version grows.
 */
public enum MoveStage {
    /** One request in a hundred. */
    FIRST(0.01, 6),
    /** One request in twenty. */
    SMALL(0.05, 20),
    /** One request in five. */
    FIFTH(0.2, 30),
    /** Every other request. */
    HALF(0.5, 40),
    /** Every request. */
    ALL(1, 60);

    private final double share;
    private final int samples;

    MoveStage(double share, int samples) {
        this.share = share;
        this.samples = samples;
    }

    /**
     * Returns the greatest share of the route's requests that the new version may get.
     *
     * @return the share.
     */
    public double share() {
        return share;
    }

    /**
     * Returns how many answers of the new version are enough for the next step, if they are clean.
     *
     * @return the number of answers.
     */
    public int samples() {
        return samples;
    }

    /**
     * Returns whether this is the last step.
     *
     * @return whether the new version gets everything.
     */
    public boolean isLast() {
        return this == ALL;
    }

    /**
     * Returns the next step.
     *
     * @return the next step, or this one where it is the last.
     */
    public MoveStage next() {
        return isLast() ? this : values()[ordinal() + 1];
    }
}
