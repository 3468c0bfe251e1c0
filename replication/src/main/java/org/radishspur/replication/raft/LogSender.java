package org.radishspur.replication.raft;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Sends the leader's log to another replica: the entries that it lacks, the snapshot where they are compacted, or heartbeats.
 */
final class LogSender {
    /**
     * The speed of a link, in bytes per millisecond, that is taken into account before entries are sent again. Entries that
     * are still under way would otherwise fill the memory with their copies.
     */
    private static final long SLOW_LINK_BYTES_PER_MILLI = 2_000;

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
        long resendMillis = options.electionTimeoutMillis() + unacknowledgedBytes(state) / SLOW_LINK_BYTES_PER_MILLI;
        if (state.unacknowledgedSince > 0 && leader.clock() - state.unacknowledgedSince > resendMillis) {
            state.unacknowledgedSince = 0;
            state.nextIndex = state.matchIndex + 1;
        }
        if (!sendEntries(peer, state, leader)) {
            sendHeartbeat(peer, state, leader);
        }
    }

    /** Sends the peer entries or a part of the snapshot that it lacks; returns whether anything was due. */
    boolean sendEntries(String peer, Progress state, Leadership leader) {
        if (state.nextIndex < log.firstIndex()) {
            sendSnapshotChunk(peer, state, leader);
            return true;
        }
        LogLimits limits = options.limits();
        List<LogEntry> entries = log.slice(state.nextIndex, options.maximumEntriesPerMessage(), limits.messageBytes());
        if (entries.isEmpty()) {
            return false;
        }
        long last = state.nextIndex + entries.size() - 1;
        long unacknowledged = unacknowledgedBytes(state);
        if (unacknowledged > 0
                && unacknowledged + log.bytesBetween(state.nextIndex - 1, last) > limits.unacknowledgedBytes()) {
            return false;
        }
        sendAppend(peer, state.nextIndex - 1, entries, leader);
        if (state.unacknowledgedSince == 0) {
            state.unacknowledgedSince = leader.clock();
            state.unacknowledgedFrom = state.nextIndex;
        }
        state.nextIndex = last + 1;
        return true;
    }

    /** Returns the size of the entries that were sent to a peer and that it hasn't acknowledged. */
    private long unacknowledgedBytes(Progress state) {
        return state.unacknowledgedSince == 0
                ? 0
                : log.bytesBetween(Math.max(state.matchIndex, state.unacknowledgedFrom - 1), state.nextIndex - 1);
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
