package org.radishspur.replication.raft;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Sends the leader's log to another replica: the entries that it lacks, the snapshot where they are compacted, or heartbeats.
 */
final class LogSender {
    private final RaftOptions options;
    private final RaftLog log;
    private final PendingEffects effects;

    LogSender(RaftOptions options, RaftLog log, PendingEffects effects) {
        this.options = options;
        this.log = log;
        this.effects = effects;
    }

    /** Sends what the peer lacks, or a heartbeat; what it hasn't acknowledged for long is sent again. */
    void sendDue(String peer, Progress state, Leadership leader) {
        if (state.unacknowledgedSince > 0
                && leader.clock() - state.unacknowledgedSince > options.electionTimeoutMillis()) {
            state.unacknowledgedSince = 0;
            state.nextIndex = state.matchIndex + 1;
        }
        if (!sendEntries(peer, state, leader)) {
            sendHeartbeat(peer, state, leader);
        }
    }

    /** Sends the peer the entries or the snapshot that it lacks; returns whether it lacks any. */
    boolean sendEntries(String peer, Progress state, Leadership leader) {
        if (state.nextIndex < log.firstIndex()) {
            sendSnapshotChunk(peer, state, leader);
            return true;
        }
        List<LogEntry> entries = log.slice(state.nextIndex, options.maximumEntriesPerMessage());
        if (entries.isEmpty()) {
            return false;
        }
        sendAppend(peer, state.nextIndex - 1, entries, leader);
        state.nextIndex += entries.size();
        if (state.unacknowledgedSince == 0) {
            state.unacknowledgedSince = leader.clock();
        }
        return true;
    }

    private void sendHeartbeat(String peer, Progress state, Leadership leader) {
        long previous = Math.max(state.nextIndex - 1, log.firstIndex() - 1);
        sendAppend(peer, previous, List.of(), leader);
    }

    private void sendAppend(String peer, long previous, List<LogEntry> entries, Leadership leader) {
        effects.send(
                peer,
                new RaftMessage.AppendRequest(
                        leader.term(), previous, log.termAt(previous), entries, leader.commitIndex(), leader.clock()));
    }

    private void sendSnapshotChunk(String peer, Progress state, Leadership leader) {
        if (state.snapshotInTransfer.isEmpty()) {
            state.snapshotInTransfer = Optional.of(log.snapshot());
            state.snapshotOffset = 0;
            state.unacknowledgedSince = 0;
        }
        if (state.unacknowledgedSince > 0) {
            return;
        }
        Snapshot snapshot = state.snapshotInTransfer.get();
        int begin = (int) state.snapshotOffset;
        int end = Math.min(snapshot.state().length, begin + options.snapshotChunkBytes());
        byte[] chunk = Arrays.copyOfRange(snapshot.state(), begin, end);
        state.unacknowledgedSince = Math.max(1, leader.clock());
        effects.send(
                peer,
                new RaftMessage.SnapshotRequest(
                        leader.term(),
                        snapshot.lastIndex(),
                        snapshot.lastTerm(),
                        snapshot.configuration(),
                        begin,
                        chunk,
                        end == snapshot.state().length,
                        leader.clock()));
    }

    /**
     * Holds what the leader states in its messages.
     *
     * @param term its term.
     * @param commitIndex the highest index that it has committed.
     * @param clock its monotonic clock in milliseconds when it last sent heartbeats or got a reply.
     */
    record Leadership(long term, long commitIndex, long clock) {}
}
