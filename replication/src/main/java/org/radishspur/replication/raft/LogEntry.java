package org.radishspur.replication.raft;

/**
 * Represents one entry of the replicated log.
 *
 * @param index the position in the log, starting at 1.
 * @param term the term of the leader that appended it.
 * @param payload the content of the entry.
 */
public record LogEntry(long index, long term, Payload payload) {
    /** The approximate size of an entry without the bytes of its command. */
    private static final int OVERHEAD_BYTES = 64;

    /**
     * Returns the approximate size of the entry in memory.
     *
     * @return the size in bytes.
     */
    public long size() {
        return OVERHEAD_BYTES + (payload instanceof Payload.Command command ? command.bytes().length : 0);
    }

    /**
     * Represents the content of an entry.
     */
    public sealed interface Payload {

        /**
         * Has no effect; a new leader appends it, because committing it commits all earlier entries as well.
         */
        record Empty() implements Payload {}

        /**
         * Changes the configuration of the cluster. It takes effect when it is appended, not when it is committed.
         *
         * @param configuration the new configuration.
         */
        record ConfigurationChange(Configuration configuration) implements Payload {}

        /**
         * Contains one command for the state machine.
         *
         * @param bytes the encoded command.
         */
        record Command(byte[] bytes) implements Payload {}
    }
}
