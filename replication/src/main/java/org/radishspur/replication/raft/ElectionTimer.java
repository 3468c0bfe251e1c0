package org.radishspur.replication.raft;

import java.util.random.RandomGenerator;

/**
 * Schedules the next election of a replica at a random time after its timeout.
 */
final class ElectionTimer {
    /**
     * The minimum election timeout, in heartbeats, of a replica that has seen no leader since its start, where no lease
     * is used.
     */
    private static final int INITIAL_ELECTION_TIMEOUT_HEARTBEATS = 1;

    /** The upper bound of the estimated write time, in election timeouts. */
    private static final int MAXIMUM_WRITE_ELECTION_TIMEOUTS = 8;

    private final RaftOptions options;
    private final RandomGenerator random;
    private final WriteTimeEstimate writeTimeEstimate;

    /** Whether this replica has seen a leader, or led, since it started. */
    private boolean leaderSeen;

    private long dueAt;

    ElectionTimer(RaftOptions options, RandomGenerator random) {
        this.options = options;
        this.random = random;
        this.writeTimeEstimate =
                new WriteTimeEstimate(MAXIMUM_WRITE_ELECTION_TIMEOUTS * options.electionTimeoutMillis());
    }

    /** Records that this replica has seen a leader, or leads. */
    void recordLeader() {
        leaderSeen = true;
    }

    /** Records how long a write took, in milliseconds. */
    void recordWrite(long millis) {
        writeTimeEstimate.recordWrite(millis);
    }

    boolean isDue(long now) {
        return now >= dueAt;
    }

    /** Schedules the next election, allowing for voters to write their votes and the batches queued before them. */
    void scheduleAfterVoteWrites(long now) {
        schedule(now + 2 * writeTimeEstimate.millis());
    }

    /** Schedules the next election. */
    void schedule(long now) {
        // A replica that has seen no leader since it started begins an election early. If all replicas have restarted,
        // there is no leader to wait for; if there is a leader, the pre-vote is refused. One heartbeat rather than two
        // starts the election sooner but splits votes more often, so that it may not shorten an outage.
        boolean noLeaderSeen = options.leaseMillis() == 0 && !leaderSeen;
        long minimumMillis = noLeaderSeen
                ? INITIAL_ELECTION_TIMEOUT_HEARTBEATS * options.heartbeatMillis()
                : options.electionTimeoutMillis();
        dueAt = now + minimumMillis + random.nextLong(Math.max(1, noLeaderSeen ? 2 * minimumMillis : minimumMillis));
    }
}
