package org.radishspur.decision.move;

/**
 * Names how a move stands; a move has exactly one state at any time.
 */
public enum MoveState {
    /** The new version gets a growing share. */
    STEPPING,
    /** The new version gets everything, and is still watched against what the old one did. */
    COMPLETED,
    /** The new version gets everything, and the watch is over. */
    DONE,
    /** The new version gets nothing, ever, under this move. */
    TAKEN_BACK;

    /**
     * Returns whether nothing can change any more.
     *
     * @return whether the state is final.
     */
    public boolean isFinal() {
        return this == DONE || this == TAKEN_BACK;
    }
}
