package org.radishspur.decision.move;

/**
 * Lists the stages of a move, in which the new version gets a growing share of the route's requests.
 */
public enum MoveStage {
    /** The new version gets at most one request in a hundred. */
    FIRST(0.01, 6),
    /** The new version gets at most one request in twenty. */
    SMALL(0.05, 20),
    /** The new version gets at most one request in five. */
    FIFTH(0.2, 30),
    /** The new version gets at most every other request. */
    HALF(0.5, 40),
    /** The new version gets every request. */
    ALL(1, 60);

    private final double share;
    private final int requiredOutcomes;

    MoveStage(double share, int requiredOutcomes) {
        this.share = share;
        this.requiredOutcomes = requiredOutcomes;
    }

    /**
     * Returns the maximum share of the route's requests that the new version may get.
     *
     * @return the share, from 0 to 1.
     */
    public double share() {
        return share;
    }

    /**
     * Returns how many outcomes of the new version are enough to advance, if they show little evidence of a fault.
     *
     * @return the number of outcomes in this stage.
     */
    public int requiredOutcomes() {
        return requiredOutcomes;
    }

    /**
     * Returns whether this is the last stage.
     *
     * @return whether the new version gets every request.
     */
    public boolean isLast() {
        return this == ALL;
    }

    /**
     * Returns the next stage.
     *
     * @return the next stage, or this one if it is the last.
     */
    public MoveStage next() {
        return isLast() ? this : values()[ordinal() + 1];
    }
}
