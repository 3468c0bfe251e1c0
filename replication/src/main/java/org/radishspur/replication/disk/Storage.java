package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Accesses the files of one folder; an interface, so that tests can inject faults at each operation.
 */
interface Storage {
    /** The ending of the names of files that are being written. */
    String TEMPORARY_SUFFIX = ".tmp";

    /**
     * Returns a description of the folder for error messages.
     *
     * @return the description.
     */
    String location();

    /**
     * Lists the files whose names start with a prefix.
     *
     * @param prefix the prefix.
     * @return the names, sorted.
     * @throws IOException if the folder can't be read.
     */
    List<String> list(String prefix) throws IOException;

    /**
     * Reads a file.
     *
     * @param name the name of the file.
     * @return its content.
     * @throws IOException if the file doesn't exist or can't be read.
     */
    byte[] read(String name) throws IOException;

    /**
     * Opens a file for appending, and creates it if it doesn't exist.
     *
     * @param name the name of the file.
     * @return the open file.
     * @throws IOException if the file can't be opened.
     */
    AppendFile open(String name) throws IOException;

    /**
     * Renames a file, and replaces the file that had the new name.
     *
     * @param from the name of the file.
     * @param to the new name.
     * @throws IOException if the file can't be renamed.
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file if it exists.
     *
     * @param name the name of the file.
     * @throws IOException if the file can't be deleted.
     */
    void delete(String name) throws IOException;

    /**
     * Syncs the folder, which makes the names of its files durable.
     *
     * @throws IOException if the folder can't be synced.
     */
    void sync() throws IOException;

    /**
     * Writes a file atomically: after a crash, it has either all of its new content or none.
     *
     * @param name the name of the file.
     * @param bytes the content of the file.
     * @throws IOException if the file can't be written or synced.
     */
    default void writeAtomically(String name, byte[] bytes) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        try (AppendFile file = open(temporary)) {
            file.truncate(0);
            file.append(ByteBuffer.wrap(bytes));
            file.force();
        }
        rename(temporary, name);
        sync();
    }

    /**
     * Appends to one file.
     */
    interface AppendFile extends AutoCloseable {

        /**
         * Appends bytes to the file.
         *
         * @param bytes the bytes to append.
         * @throws IOException if not all bytes could be written; some may have been.
         */
        void append(ByteBuffer bytes) throws IOException;

        /**
         * Syncs the file, which makes its content durable, but not its name.
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
    }
}
