package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Appends to one journal; tests put a failing one in its place.
 */
interface JournalFile extends AutoCloseable {

    /**
     * Writes all bytes at the end.
     *
     * @param bytes what to write.
     * @throws IOException if not everything could be written.
     */
    void append(ByteBuffer bytes) throws IOException;

    /**
     * Makes everything that was appended durable.
     *
     * @throws IOException if the state of the disk is in doubt.
     */
    void force() throws IOException;

    /**
     * Cuts the file, as after an append that failed half way.
     *
     * @param length the length to keep.
     * @throws IOException if the file can't be cut.
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
     * Writes through a file channel.
     */
    final class ChannelJournalFile implements JournalFile {
        private final FileChannel channel;

        /**
         * Opens a file.
         *
         * @param path the file.
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
