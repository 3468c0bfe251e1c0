package org.radishspur.replication.raft;

/**
 * Lists the roles of a replica in its current term.
 */
public enum Role {
    /** It follows a leader, or waits for one to be elected. */
    FOLLOWER,
    /** It asks the voters whether an election would succeed, without starting a new term. */
    PRE_CANDIDATE,
    /** It requests votes in an election. */
    CANDIDATE,
    /** It is the leader of the term. */
    LEADER
}
