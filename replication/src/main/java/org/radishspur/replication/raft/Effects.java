package org.radishspur.replication.raft;

import java.util.List;
import java.util.Optional;

/**
 * Lists the input and output that the caller of {@link RaftCore} has to do for it.
 *
 * @param immediate the messages that may be sent before the write is durable.
 * @param write the batch that must become durable.
 * @param afterWrite the messages that may only be sent once this write and every earlier one are durable.
 * @param installedSnapshot the snapshot that replaces the complete state of the state machine before the committed
 *     entries are applied, if there is one.
 * @param committed the entries to apply to the state machine, in order and exactly once.
 */
public record Effects(
        List<OutboundMessage> immediate,
        WriteBatch write,
        List<OutboundMessage> afterWrite,
        Optional<Snapshot> installedSnapshot,
        List<LogEntry> committed) {

    /**
     * Pairs a message with its receiver.
     *
     * @param to the identity of the receiving replica.
     * @param message the message.
     */
    public record OutboundMessage(String to, RaftMessage message) {}
}
