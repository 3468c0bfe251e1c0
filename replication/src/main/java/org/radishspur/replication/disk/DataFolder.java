package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Gives access to the files of one data folder; every file lives directly in it.
 *
 * @param path the folder.
 */
public record DataFolder(Path path) {
    private static final String IDENTITY_FILE = "identity.json";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    /**
     * Formats the folder, once in its life.
     *
     * @param identity the identity that the folder is to have.
     */
    public void format(Identity identity) {
        try {
            Files.createDirectories(path);
            if (Files.exists(path.resolve(IDENTITY_FILE)) || !list("journal-").isEmpty()) {
                throw new RadishspurException(ErrorCode.DATA_FOLDER_STATE, "already formatted: " + path);
            }
            writeAtomically(IDENTITY_FILE, identity.write().getBytes(StandardCharsets.UTF_8));
        } catch (IOException exception) {
            throw DiskFaults.translate("can't format " + path, exception);
        }
    }

    /**
     * Returns whether the folder has been formatted.
     *
     * @return whether it has an identity.
     */
    public boolean isFormatted() {
        return Files.exists(path.resolve(IDENTITY_FILE));
    }

    /**
     * Reads the identity of the folder and checks that it belongs here.
     *
     * @param cluster the cluster that the process belongs to.
     * @param node the name of the process.
     * @return the identity.
     */
    public Identity identity(String cluster, String node) {
        if (!isFormatted()) {
            throw new RadishspurException(ErrorCode.DATA_FOLDER_STATE, "not formatted: " + path);
        }
        try {
            String text = Files.readString(path.resolve(IDENTITY_FILE));
            Identity identity = Identity.parse(text);
            if (!identity.cluster().equals(cluster) || !identity.node().equals(node)) {
                throw new RadishspurException(
                        ErrorCode.FOREIGN_DATA,
                        path + " belongs to node " + identity.node() + " of cluster " + identity.cluster());
            }
            return identity;
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FILE_UNREADABLE, "can't read the identity in " + path, exception);
        }
    }

    /**
     * Lists the files whose names begin with a prefix.
     *
     * @param prefix the prefix.
     * @return the files in the order of their names.
     * @throws IOException if the folder can't be read.
     */
    List<Path> list(String prefix) throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            return files.filter(file -> {
                        String name = file.getFileName().toString();
                        return name.startsWith(prefix) && !name.endsWith(TEMPORARY_SUFFIX);
                    })
                    .sorted()
                    .toList();
        }
    }

    /**
     * Writes a file so that after a crash it is there whole or not at all.
     *
     * @param name the name of the file.
     * @param bytes its content.
     * @throws IOException if the file can't be written or synced.
     */
    void writeAtomically(String name, byte[] bytes) throws IOException {
        Path temporary = path.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            java.nio.ByteBuffer buffer = java.nio.ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporary, path.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        syncFolder();
    }

    /**
     * Makes the names of new files durable.
     *
     * @throws IOException if the folder can't be synced.
     */
    void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Returns the space that is left on the disk.
     *
     * @return the number of bytes, 0 where the disk can't be measured.
     */
    public long usableBytes() {
        // A file store would read the list of all mounts each time, on the thread that waits for the disk.
        return path.toFile().getUsableSpace();
    }
}
