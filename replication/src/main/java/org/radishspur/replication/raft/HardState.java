package org.radishspur.replication.raft;

/**
 * Holds the election state that a replica must keep across restarts, so that it never votes twice in a term.
 *
 * @param term the latest term that the replica has seen.
 * @param votedFor the identity of the replica that it voted for in that term, or an empty string.
 */
public record HardState(long term, String votedFor) {
    /** The state of a replica that has not seen any election. */
    public static final HardState INITIAL = new HardState(0, "");
}
