package org.radishspur.replication.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.radishspur.replication.raft.Effects.OutboundMessage;

/**
 * Gathers the messages and the writes that result from the calls of a {@link RaftCore} until the caller takes them.
 */
final class PendingEffects {
    private Optional<HardState> hardState = Optional.empty();
    private List<LogEntry> entries = new ArrayList<>();
    private Optional<Snapshot> snapshot = Optional.empty();
    private Optional<Snapshot> installedSnapshot = Optional.empty();
    private List<OutboundMessage> immediate = new ArrayList<>();
    private List<OutboundMessage> afterWrite = new ArrayList<>();

    /** Sends a message, without waiting for a write. */
    void send(String to, RaftMessage message) {
        immediate.add(new OutboundMessage(to, message));
    }

    /** Sends a message once all that was recorded by then is durable. */
    void sendAfterWrite(String to, RaftMessage message) {
        afterWrite.add(new OutboundMessage(to, message));
    }

    void write(HardState changed) {
        hardState = Optional.of(changed);
    }

    void write(LogEntry appended) {
        entries.add(appended);
    }

    void write(Snapshot taken) {
        snapshot = Optional.of(taken);
    }

    /** Lets the state machine be replaced by the state of a snapshot. */
    void install(Snapshot installed) {
        installedSnapshot = Optional.of(installed);
    }

    /** Discards the unwritten entries from an index on, which were removed from the log. */
    void discardEntriesFrom(long index) {
        entries.removeIf(pending -> pending.index() >= index);
    }

    /** Discards the unwritten entries up to an index, which a snapshot covers. */
    void discardEntriesUpTo(long index) {
        entries.removeIf(pending -> pending.index() <= index);
    }

    /**
     * Returns the effects and clears them.
     *
     * @param committed the entries to apply to the state machine.
     */
    Effects take(List<LogEntry> committed) {
        WriteBatch write = new WriteBatch(hardState, List.copyOf(entries), snapshot);
        Effects effects =
                new Effects(List.copyOf(immediate), write, List.copyOf(afterWrite), installedSnapshot, committed);
        hardState = Optional.empty();
        entries = new ArrayList<>();
        snapshot = Optional.empty();
        installedSnapshot = Optional.empty();
        immediate = new ArrayList<>();
        afterWrite = new ArrayList<>();
        return effects;
    }
}
