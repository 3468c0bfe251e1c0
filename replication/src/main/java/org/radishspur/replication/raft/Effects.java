package org.radishspur.replication.raft;

import java.util.List;
import java.util.Optional;

/**
 * Lists what the surroundings of the core have to do after a step, in this order of dependence: messages that need no
 * disk go at once; messages that rest on the write go when it, and every earlier write, is durable.
 *
 * @param immediate messages that may go before the write.
 * @param write what must become durable.
 * @param afterWrite messages that must wait for the write.
 * @param installed a snapshot that replaces the whole state machine, before the committed entries.
 * @param committed entries to apply, in order and exactly once.
 */
public record Effects(
        List<OutboundMessage> immediate,
        WriteBatch write,
        List<OutboundMessage> afterWrite,
        Optional<Snapshot> installed,
        List<LogEntry> committed) {

    /**
     * Addresses a message.
     *
     * @param to the identity of the replica that is to get it.
     * @param message the message.
     */
    public record OutboundMessage(String to, RaftMessage message) {}
}
