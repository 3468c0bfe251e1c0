package org.radishspur.replication.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the replication progress of the other replicas for the leader, and computes what a quorum has reached.
 */
final class Followers {
    /** After how many election timeouts without a reply a replica no longer holds back the compaction of the log. */
    private static final int UNRESPONSIVE_ELECTION_TIMEOUTS = 10;

    /** How far a replica may lag and still hold back the compaction, in multiples of the trailing entries. */
    private static final int MAXIMUM_LAG_FACTOR = 20;

    private final RaftOptions options;
    private final String self;
    private final Map<String, Progress> progress = new HashMap<>();

    Followers(RaftOptions options, String self) {
        this.options = options;
        this.self = self;
    }

    void clear() {
        progress.clear();
    }

    /**
     * Returns the progress of a replica; a new one counts as having replied to a message sent one election timeout ago.
     */
    Progress progressOf(String replica, long nextIndex, long clock) {
        return progress.computeIfAbsent(
                replica, key -> new Progress(nextIndex, clock - options.electionTimeoutMillis()));
    }

    /** Returns the highest index that is durable on a quorum. */
    long quorumMatchIndex(Configuration configuration, long persistedIndex) {
        List<Long> matchIndexes = new ArrayList<>();
        for (String voter : configuration.voters()) {
            Progress state = progress.get(voter);
            matchIndexes.add(voter.equals(self) ? persistedIndex : state == null ? 0 : state.matchIndex);
        }
        return highestReachedByQuorum(matchIndexes, configuration);
    }

    /**
     * Returns the latest time, in milliseconds of the leader's clock, such that a quorum has replied to messages sent
     * then or later; {@link Long#MAX_VALUE} where the leader alone is a quorum.
     */
    long quorumAcknowledgedSendTime(Configuration configuration) {
        List<Long> sendTimes = new ArrayList<>();
        for (String voter : configuration.voters()) {
            Progress state = progress.get(voter);
            sendTimes.add(voter.equals(self) ? Long.MAX_VALUE : state == null ? 0 : state.acknowledgedSendTime);
        }
        return highestReachedByQuorum(sendTimes, configuration);
    }

    /**
     * Returns the index after which the log must be kept for replicas that reply but lag; without those entries, a
     * replica that has just installed a snapshot would need the next one immediately and never catch up. Also abandons
     * the transfer of a snapshot to a replica that no longer replies.
     */
    long oldestNeededIndex(long index, long firstIndex, long clock) {
        long oldest = Long.MAX_VALUE;
        for (Progress state : progress.values()) {
            boolean responsive = clock - state.acknowledgedSendTime
                    < UNRESPONSIVE_ELECTION_TIMEOUTS * options.electionTimeoutMillis();
            if (state.snapshotInTransfer.isPresent() && responsive) {
                oldest = Math.min(oldest, state.snapshotInTransfer.get().lastIndex());
                continue;
            }
            state.snapshotInTransfer = Optional.empty();
            long lag = index - state.matchIndex;
            if (responsive && state.matchIndex >= firstIndex && lag < MAXIMUM_LAG_FACTOR * options.trailingEntries()) {
                oldest = Math.min(oldest, state.matchIndex);
            }
        }
        return oldest;
    }

    private static long highestReachedByQuorum(List<Long> values, Configuration configuration) {
        values.sort(Comparator.reverseOrder());
        return values.get(configuration.quorum() - 1);
    }
}
