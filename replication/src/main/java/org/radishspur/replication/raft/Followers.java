package org.radishspur.replication.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks for the leader how far the other replicas are, and what a quorum of them has.
 */
final class Followers {
    private static final int UNRESPONSIVE_ELECTION_TIMEOUTS = 10;
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

    /** Returns what is known of a replica; of a new one only from which index on entries are to be sent. */
    Progress progressOf(String replica, long nextIndex, long clock) {
        return progress.computeIfAbsent(
                replica, key -> new Progress(nextIndex, clock - options.electionTimeoutMillis()));
    }

    /** Returns the greatest index that a quorum has on disk. */
    long quorumMatchIndex(Configuration configuration, long persistedIndex) {
        List<Long> stored = new ArrayList<>();
        for (String voter : configuration.voters()) {
            Progress state = progress.get(voter);
            stored.add(voter.equals(self) ? persistedIndex : state == null ? 0 : state.matchIndex);
        }
        return greatestReachedByQuorum(stored, configuration);
    }

    /** Returns the leader's clock of the latest moment for which a quorum has answered a message sent then. */
    long quorumAcknowledgedSendTime(Configuration configuration) {
        List<Long> answered = new ArrayList<>();
        for (String voter : configuration.voters()) {
            Progress state = progress.get(voter);
            answered.add(voter.equals(self) ? Long.MAX_VALUE : state == null ? 0 : state.acknowledgedSendTime);
        }
        return greatestReachedByQuorum(answered, configuration);
    }

    /**
     * Returns the index behind which the log must stay for replicas that answer but lag: one that has just taken a
     * snapshot would otherwise need the next one at once, and never catch up.
     */
    long oldestNeededIndex(long index, long firstIndex, long clock) {
        long oldest = Long.MAX_VALUE;
        for (Progress state : progress.values()) {
            boolean answers = clock - state.acknowledgedSendTime
                    < UNRESPONSIVE_ELECTION_TIMEOUTS * options.electionTimeoutMillis();
            if (state.snapshotInTransfer.isPresent() && answers) {
                oldest = Math.min(oldest, state.snapshotInTransfer.get().lastIndex());
                continue;
            }
            state.snapshotInTransfer = Optional.empty();
            long lag = index - state.matchIndex;
            if (answers && state.matchIndex >= firstIndex && lag < MAXIMUM_LAG_FACTOR * options.trailingEntries()) {
                oldest = Math.min(oldest, state.matchIndex);
            }
        }
        return oldest;
    }

    private static long greatestReachedByQuorum(List<Long> values, Configuration configuration) {
        values.sort(Comparator.reverseOrder());
        return values.get(configuration.quorum() - 1);
    }
}
