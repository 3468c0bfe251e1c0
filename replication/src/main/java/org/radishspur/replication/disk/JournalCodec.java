package org.radishspur.replication.disk;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.replication.codec.MessagePack;

/**
 * Encodes the records of a journal with checksums, and reads the intact records at the beginning of a journal.
 */
final class JournalCodec {
    /** The size of the header before each record: a magic number, the length and the checksum of the record. */
    static final int HEADER_BYTES = 12;

    private static final int MAGIC = 0x52414453;
    private static final int MAXIMUM_RECORD_BYTES = 1 << 28;

    private JournalCodec() {}

    static ByteBuffer frame(JournalRecord record) {
        return frame(MessagePack.INSTANCE.encode(record));
    }

    /** Adds the header to an encoded record. */
    static ByteBuffer frame(byte[] payload) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        frame.putInt(MAGIC).putInt(payload.length).putInt(checksum(payload, 0, payload.length));
        return frame.put(payload).flip();
    }

    /**
     * Reads the intact records at the beginning of a journal, and passes them on one by one, as all of them together may
     * take much more memory than those that are still needed.
     *
     * <p>Corruption must not be taken for a torn tail. Each batch is one record and is synced before the next one is
     * written, so a crash can tear only the last record. An intact record after a damaged one proves that the damaged
     * one had been synced, so that other replicas may rely on it: truncating the journal there would lose a vote or an
     * entry.
     *
     * @param bytes the content of the journal.
     * @param last whether this is the latest journal, whose last record may be torn.
     * @param name the name of the file, for error messages.
     * @param receiver receives the records in their order.
     * @return the length of the intact records with headers, in bytes.
     * @throws RadishspurException if the journal is damaged elsewhere than at a torn tail.
     */
    static long read(byte[] bytes, boolean last, String name, Consumer<JournalRecord> receiver) {
        int position = 0;
        while (position < bytes.length) {
            int length = recordLengthAt(bytes, position);
            if (length < 0) {
                boolean torn = last && !hasIntactRecordFrom(bytes, position + 1);
                if (!torn) {
                    throw new RadishspurException(ErrorCode.LOG_CORRUPT, name + " is damaged at byte " + position);
                }
                break;
            }
            receiver.accept(MessagePack.INSTANCE.decode(bytes, position + HEADER_BYTES, length, JournalRecord.class));
            position += HEADER_BYTES + length;
        }
        return position;
    }

    private static boolean hasIntactRecordFrom(byte[] bytes, int from) {
        for (int position = from; position + HEADER_BYTES <= bytes.length; position++) {
            if (bytes[position] == MAGIC >>> 24 && recordLengthAt(bytes, position) >= 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns the length of the intact record at a position, or -1 if there is none. */
    private static int recordLengthAt(byte[] bytes, int position) {
        if (bytes.length - position < HEADER_BYTES) {
            return -1;
        }
        ByteBuffer header = ByteBuffer.wrap(bytes, position, HEADER_BYTES);
        int magic = header.getInt();
        int length = header.getInt();
        int checksum = header.getInt();
        // No record is empty, but a torn header can look like that of an empty one: zeros are their checksum.
        boolean fits = length > 0 && length <= MAXIMUM_RECORD_BYTES && length <= bytes.length - position - HEADER_BYTES;
        if (magic != MAGIC || !fits || checksum(bytes, position + HEADER_BYTES, length) != checksum) {
            return -1;
        }
        return length;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }
}
