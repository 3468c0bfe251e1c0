package org.radishspur.decision.move;

/**
 * Lists why a move is rolled back to the old version.
 */
public enum RollbackReason {
    /** The move isn't rolled back. */
    NONE,
    /** The first requests to the new version, or several in a row, all failed. */
    FAILS_OUTRIGHT,
    /** The new version fails more often than the old one. */
    FAILS_MORE,
    /** The new version is slower than the old one. */
    SLOWER,
    /** At the requested completion time there was too much evidence of a fault to complete the move. */
    IN_DOUBT,
    /** An operator set the route to the old version again. */
    BY_OPERATOR,
    /** An operator set the route to a third version. */
    SUPERSEDED
}
