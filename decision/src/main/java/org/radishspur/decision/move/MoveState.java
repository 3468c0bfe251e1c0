package org.radishspur.decision.move;

/**
 * Lists the states of a move.
 */
public enum MoveState {
    /** The new version gets a share of the requests that grows with each {@link MoveStage}. */
    STEPPING,
    /** The new version gets every request, and is still compared with the earlier answers of the old one. */
    COMPLETED,
    /** The new version gets every request, and the comparison has ended. */
    DONE,
    /** The move was rolled back: the new version gets no more requests under it. */
    TAKEN_BACK;

    /**
     * Returns whether the state is final.
     *
     * @return whether the move can't change any more.
     */
    public boolean isFinal() {
        return this == DONE || this == TAKEN_BACK;
    }
}
