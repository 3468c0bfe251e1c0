package org.radishspur.replication.raft;

import java.util.List;

/**
 * Represents a message from one replica of a cluster to another one.
 */
public sealed interface RaftMessage {

    /**
     * Returns the term of the message.
     *
     * @return the term.
     */
    long term();

    /**
     * Requests a vote or a pre-vote.
     *
     * @param term the term of the election; for a pre-vote, the term that the election would have.
     * @param preVote whether this is a pre-vote, which asks whether a vote would be granted and commits the voter to
     *     nothing.
     * @param transfer whether the leader requested this election to transfer its leadership, so that voters need not
     *     wait for its lease to expire.
     * @param lastIndex the index of the candidate's last entry.
     * @param lastTerm the term of the candidate's last entry.
     */
    record VoteRequest(long term, boolean preVote, boolean transfer, long lastIndex, long lastTerm)
            implements RaftMessage {}

    /**
     * Replies to a request for a vote or a pre-vote.
     *
     * @param term the term of the request if granted, otherwise the term of the voter.
     * @param preVote whether the request was for a pre-vote.
     * @param granted whether the vote or pre-vote is granted.
     */
    record VoteReply(long term, boolean preVote, boolean granted) implements RaftMessage {}

    /**
     * Appends entries to the log of a follower, or serves as a heartbeat where it has no entries.
     *
     * @param term the term of the leader.
     * @param previousIndex the index of the entry that precedes the sent ones.
     * @param previousTerm the term of that entry.
     * @param entries the entries to append, in order; empty for a heartbeat.
     * @param commitIndex the highest index that the leader knows to be committed.
     * @param sentAt the leader's monotonic clock in milliseconds when it sent the message; the reply returns it, and
     *     the leader computes its lease from it.
     */
    record AppendRequest(
            long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex, long sentAt)
            implements RaftMessage {}

    /**
     * Replies to an append request.
     *
     * @param term the term of the follower.
     * @param matched whether the follower's log contains the preceding entry.
     * @param index the highest index known to match the leader's log, or, where the preceding entry was not found, the
     *     index to send from next.
     * @param sentAt the value of the request, in milliseconds of the leader's monotonic clock.
     */
    record AppendReply(long term, boolean matched, long index, long sentAt) implements RaftMessage {}

    /**
     * Sends one chunk of a snapshot.
     *
     * @param term the term of the leader.
     * @param lastIndex the index of the last entry that the snapshot covers.
     * @param lastTerm the term of that entry.
     * @param configuration the configuration as of that entry.
     * @param offset the position of the chunk in the encoded state, in bytes.
     * @param chunk the bytes of the chunk.
     * @param last whether this is the last chunk.
     * @param sentAt the leader's monotonic clock in milliseconds when it sent the message.
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
     * Replies to one chunk of a snapshot.
     *
     * @param term the term of the follower.
     * @param lastIndex the index of the last entry that the snapshot covers.
     * @param nextOffset the number of bytes that the follower has received so far.
     * @param installed whether the follower has installed the snapshot or has already committed the entries that it
     *     covers.
     * @param sentAt the value of the request, in milliseconds of the leader's monotonic clock.
     */
    record SnapshotReply(long term, long lastIndex, long nextOffset, boolean installed, long sentAt)
            implements RaftMessage {}

    /**
     * Requests that a caught-up follower start an election immediately, which transfers the leadership to it.
     *
     * @param term the term of the leader.
     */
    record TimeoutNow(long term) implements RaftMessage {}
}
