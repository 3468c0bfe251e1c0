package org.radishspur.replication.disk;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

import org.radishspur.replication.codec.MessagePack;
import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.LogEntry;

/**
 * Has the components that the records of an earlier version had.
 *
 * @param replica the identity of the replica.
 * @param hardState the election state.
 * @param entries the log entries.
 * @param snapshotIndex the last index that the snapshot covers.
 * @param snapshotTerm the term of the entry at that index.
 */
record EarlierRecord(
        String replica, Optional<HardState> hardState, List<LogEntry> entries, long snapshotIndex, long snapshotTerm) {

    /** Returns the content of a journal as the earlier version would have written it. */
    static byte[] rewrite(byte[] journal, String name) {
        ByteArrayOutputStream rewritten = new ByteArrayOutputStream();
        long length = JournalCodec.read(journal, true, name, record -> {
            EarlierRecord earlier = new EarlierRecord(
                    record.replica(),
                    record.hardState(),
                    record.entries(),
                    record.snapshotIndex(),
                    record.snapshotTerm());
            byte[] frame =
                    JournalCodec.frame(MessagePack.INSTANCE.encode(earlier)).array();
            rewritten.write(frame, 0, frame.length);
        });
        rewritten.write(journal, (int) length, journal.length - (int) length);
        return rewritten.toByteArray();
    }
}
