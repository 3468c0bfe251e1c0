package org.radishspur.replication.control;

import org.radishspur.replication.state.ControlAnswer;

/**
 * Holds the outcome of a proposed command.
 */
public sealed interface ProposalOutcome {

    /**
     * Reports that the command is committed and applied.
     *
     * @param answer the answer that the state machine returned.
     */
    record Committed(ControlAnswer answer) implements ProposalOutcome {}

    /**
     * Reports that the command was not appended to the log, because this replica isn't the leader.
     *
     * @param leader the identity of the leader, or an empty string if it is unknown.
     */
    record NotLeader(String leader) implements ProposalOutcome {}

    /**
     * Reports that this replica lost the leadership before it knew the command to be committed, so that the command may
     * or may not be committed.
     */
    record InDoubt() implements ProposalOutcome {}

    /**
     * Reports that the command was not appended to the log, because too many proposals are pending, the log takes too
     * much memory or the disk is nearly full.
     */
    record Busy() implements ProposalOutcome {}

    /**
     * Receives the outcome of a proposal, on the control thread.
     */
    interface Listener {
        /**
         * Receives the outcome.
         *
         * @param outcome the outcome of the command.
         */
        void onOutcome(ProposalOutcome outcome);
    }
}
