package org.radishspur.replication.raft;

/**
 * Holds one entry of the replicated log.
 *
 * @param index the position in the log, from 1.
 * @param term the term of the leader that appended it.
 * @param payload what the entry means.
 */
public record LogEntry(long index, long term, Payload payload) {

    /**
     * Carries the meaning of an entry.
     */
    public sealed interface Payload {

        /**
         * Does nothing; a new leader appends it to learn what is committed.
         */
        record Empty() implements Payload {}

        /**
         * Changes the set of replicas from the moment it is appended.
         *
         * @param configuration the new set of replicas.
         */
        record Membership(Configuration configuration) implements Payload {}

        /**
         * Carries one command for the state machine.
         *
         * @param bytes the encoded command.
         */
        record Command(byte[] bytes) implements Payload {}
    }
}
