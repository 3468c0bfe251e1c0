package org.radishspur.testkit.schedule;

/**
 * Reports that something did not hold that must always hold.
 */
public final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Violation(Invariant invariant, String detail) {
        super(invariant + ": " + detail);
    }

    /**
     * Names what must always hold.
     */
    enum Invariant {
        /** A term has one leader at most. */
        ELECTION_SAFETY,
        /** Two logs with an entry of the same index and term are the same up to it. */
        LOG_MATCHING,
        /** A leader's log holds every committed entry. */
        LEADER_COMPLETENESS,
        /** No two replicas apply different entries at one index. */
        STATE_MACHINE_SAFETY,
        /** An acknowledged edit stays in force. */
        EDIT_LOST,
        /** An edit that was sent again gets its first answer. */
        ANSWER_CHANGED,
        /** A leader that answers reads knows every edit acknowledged before. */
        STALE_READ,
        /** A request is granted to one attempt at most. */
        CLAIM_GRANTED_TWICE,
        /** After the faults have ended, the replicas work again. */
        NO_PROGRESS
    }
}
