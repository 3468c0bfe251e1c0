package org.radishspur.replication.raft;

/**
 * Holds the state after a prefix of the log, whose entries can be discarded.
 *
 * @param lastIndex the index of the last entry that the snapshot covers.
 * @param lastTerm the term of that entry.
 * @param configuration the configuration as of that entry.
 * @param state the encoded state of the state machine as of that entry; empty before the first command.
 */
public record Snapshot(long lastIndex, long lastTerm, Configuration configuration, byte[] state) {

    /**
     * Returns the snapshot that precedes the first entry of the log.
     *
     * @param configuration the initial configuration; a replica that waits to be added starts with an empty one.
     * @return the snapshot.
     */
    public static Snapshot initial(Configuration configuration) {
        return new Snapshot(0, 0, configuration, new byte[0]);
    }

    /**
     * Returns this snapshot with the given state.
     *
     * @param encoded the encoded state of the state machine.
     * @return the complete snapshot.
     */
    public Snapshot withState(byte[] encoded) {
        return new Snapshot(lastIndex, lastTerm, configuration, encoded);
    }
}
