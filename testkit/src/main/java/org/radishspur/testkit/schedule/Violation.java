package org.radishspur.testkit.schedule;

/**
 * Signals that an invariant of the replicas was violated.
 */
public final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Violation(Invariant invariant, String detail) {
        super(invariant + ": " + detail);
    }

    /**
     * Names the invariants.
     */
    enum Invariant {
        /** A term has at most one leader. */
        ELECTION_SAFETY,
        /** Two logs that both hold an entry of the same index and term are equal up to that entry. */
        LOG_MATCHING,
        /** A leader's log holds every committed entry. */
        LEADER_COMPLETENESS,
        /** No two replicas apply different entries at the same index. */
        STATE_MACHINE_SAFETY,
        /** An acknowledged edit stays in force. */
        EDIT_LOST,
        /** An edit that is resent gets its first answer again. */
        ANSWER_CHANGED,
        /** A leader that answers reads has applied every edit acknowledged before. */
        STALE_READ,
        /** The claim on a request is granted to at most one attempt. */
        CLAIM_GRANTED_TWICE,
        /** After the faults have ended, the replicas commit entries again and lost replicas are replaced. */
        NO_PROGRESS
    }
}
