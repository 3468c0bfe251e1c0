package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Appends to one journal; an interface, so that tests can inject I/O errors.
 */
interface JournalFile extends AutoCloseable {

    /**
     * Appends bytes to the file.
     *
     * @param bytes the bytes to append.
     * @throws IOException if not all bytes could be written; some may have been.
     */
    void append(ByteBuffer bytes) throws IOException;

    /**
     * Syncs the file, which makes everything that was appended durable.
     *
     * @throws IOException if the sync failed, so that it is unknown what the disk holds.
     */
    void force() throws IOException;

    /**
     * Truncates the file, as after an append that failed.
     *
     * @param length the length to keep, in bytes.
     * @throws IOException if the file can't be truncated.
     */
    void truncate(long length) throws IOException;

    /** {@inheritDoc} */
    @Override
    void close() throws IOException;

    /**
     * Opens journals.
     */
    interface Factory {
        /**
         * Opens a journal for appending.
         *
         * @param path the file, which is created if it doesn't exist.
         * @return the open journal.
         * @throws IOException if the file can't be opened.
         */
        JournalFile open(Path path) throws IOException;
    }

    /**
     * Writes a journal through a file channel.
     */
    final class ChannelJournalFile implements JournalFile {
        private final FileChannel channel;

        /**
         * Opens a file for appending.
         *
         * @param path the file, which is created if it doesn't exist.
         * @throws IOException if the file can't be opened.
         */
        ChannelJournalFile(Path path) throws IOException {
            channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.position(channel.size());
        }

        /** {@inheritDoc} */
        @Override
        public void append(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void force() throws IOException {
            channel.force(false);
        }

        /** {@inheritDoc} */
        @Override
        public void truncate(long length) throws IOException {
            channel.truncate(length);
            channel.position(length);
        }

        /** {@inheritDoc} */
        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
