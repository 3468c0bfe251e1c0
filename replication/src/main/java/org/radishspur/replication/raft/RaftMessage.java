package org.radishspur.replication.raft;

import java.util.List;

/**
 * Passes between two replicas of one cluster.
 */
public sealed interface RaftMessage {

    /**
     * Returns the term that the message belongs to.
     *
     * @return the term.
     */
    long term();

    /**
     * Asks for a vote, or for the promise of one.
     *
     * @param term the term of the election, which in a pre-vote has not begun yet.
     * @param preVote whether only a promise is asked for.
     * @param transfer whether the old leader asked for this election, so that its lease need not be waited for.
     * @param lastIndex the index of the candidate's last entry.
     * @param lastTerm the term of the candidate's last entry.
     */
    record VoteRequest(long term, boolean preVote, boolean transfer, long lastIndex, long lastTerm)
            implements RaftMessage {}

    /**
     * Answers a request for a vote.
     *
     * @param term the term of the election if granted, else the term of the voter.
     * @param preVote whether the request was for a promise.
     * @param granted whether the vote is given.
     */
    record VoteReply(long term, boolean preVote, boolean granted) implements RaftMessage {}

    /**
     * Carries entries, or none as a heartbeat.
     *
     * @param term the term of the leader.
     * @param previousIndex the index of the entry just before the carried ones.
     * @param previousTerm the term of that entry.
     * @param entries the carried entries.
     * @param commitIndex the greatest index that the leader knows to be committed.
     * @param sentAt the leader's clock when it sent the message, handed back in the reply for its lease.
     */
    record AppendRequest(
            long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex, long sentAt)
            implements RaftMessage {}

    /**
     * Answers a request to append.
     *
     * @param term the term of the follower.
     * @param matched whether the entry before the carried ones was found.
     * @param index the greatest index known to match, or where matching failed the index to try next.
     * @param sentAt the leader's clock from the request.
     */
    record AppendReply(long term, boolean matched, long index, long sentAt) implements RaftMessage {}

    /**
     * Carries one part of a snapshot.
     *
     * @param term the term of the leader.
     * @param lastIndex the index of the last entry that the snapshot covers.
     * @param lastTerm the term of that entry.
     * @param configuration the set of replicas as of that entry.
     * @param offset where the part begins.
     * @param chunk the bytes of the part.
     * @param last whether this is the last part.
     * @param sentAt the leader's clock when it sent the message.
     */
    record SnapshotRequest(
            long term,
            long lastIndex,
            long lastTerm,
            Configuration configuration,
            long offset,
            byte[] chunk,
            boolean last,
            long sentAt)
            implements RaftMessage {}

    /**
     * Answers one part of a snapshot.
     *
     * @param term the term of the follower.
     * @param lastIndex the index of the last entry that the snapshot covers.
     * @param nextOffset the number of bytes that the follower holds now.
     * @param installed whether the follower's log now reaches at least to the snapshot.
     * @param sentAt the leader's clock from the request.
     */
    record SnapshotReply(long term, long lastIndex, long nextOffset, boolean installed, long sentAt)
            implements RaftMessage {}

    /**
     * Asks a caught-up follower to start an election at once, because the leader is shutting down.
     *
     * @param term the term of the leader.
     */
    record TimeoutNow(long term) implements RaftMessage {}
}
