package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.radishspur.replication.raft.LogEntry;

/**
 * Appends records to one journal. A record that couldn't be written can be written again, as on a disk that was full.
 */
final class JournalWriter implements AutoCloseable {
    private final String name;
    private final Storage.AppendFile file;
    private long length;
    private long highestIndex;
    private boolean partialRecord;

    /**
     * Opens a journal and discards what follows its intact records.
     *
     * @param storage the folder.
     * @param name the name of the journal, which is created if it doesn't exist.
     * @param length the length of its intact records, in bytes.
     * @param highestIndex the highest index of its entries, or 0 if it has none.
     * @throws IOException if the journal can't be opened.
     */
    JournalWriter(Storage storage, String name, long length, long highestIndex) throws IOException {
        this.name = name;
        this.length = length;
        this.highestIndex = highestIndex;
        file = storage.open(name);
        try {
            file.truncate(length);
            file.force();
            // Makes the name durable. This is also needed for a journal of an earlier process, which may have ended
            // before
            // it did so.
            storage.sync();
        } catch (IOException exception) {
            file.close();
            throw exception;
        }
    }

    String name() {
        return name;
    }

    /** Returns the length of the records, in bytes. */
    long length() {
        return length;
    }

    /** Returns the highest index of the entries, or 0 if there are none. */
    long highestIndex() {
        return highestIndex;
    }

    /**
     * Appends a record and makes it durable.
     *
     * @param record the record.
     * @throws IOException if the record may not be durable; it can be appended again.
     */
    void append(JournalRecord record) throws IOException {
        if (partialRecord) {
            // Without the cut, the journal would be damaged before its end.
            file.truncate(length);
        }
        partialRecord = true;
        ByteBuffer frame = JournalCodec.frame(record);
        int frameLength = frame.remaining();
        file.append(frame);
        file.force();
        partialRecord = false;
        length += frameLength;
        for (LogEntry entry : record.entries()) {
            highestIndex = Math.max(highestIndex, entry.index());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() throws IOException {
        file.close();
    }
}
