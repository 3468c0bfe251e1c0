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
 * Reads and writes the files of one data folder, all of which lie directly in it.
 *
 * @param path the folder.
 */
public record DataFolder(Path path) {
    private static final String IDENTITY_FILE = "identity.json";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    /**
     * Formats the folder by storing an identity in it; a folder is formatted only once.
     *
     * @param identity the identity of the folder.
     * @throws RadishspurException if the folder is already formatted or can't be written.
     */
    public void format(Identity identity) {
        try {
            Files.createDirectories(path);
            if (Files.exists(path.resolve(IDENTITY_FILE)) || !list("journal-").isEmpty()) {
                throw new RadishspurException(
                        ErrorCode.DATA_FOLDER_STATE, "the data folder is already formatted: " + path);
            }
            writeAtomically(IDENTITY_FILE, identity.write().getBytes(StandardCharsets.UTF_8));
        } catch (IOException exception) {
            throw DiskFaults.translate("can't format the data folder " + path, exception);
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
     * Reads the identity of the folder and checks that it belongs to the given node.
     *
     * @param cluster the cluster that the node belongs to.
     * @param node the name of the node.
     * @return the identity.
     * @throws RadishspurException if the folder is not formatted, can't be read or belongs to another node or cluster.
     */
    public Identity identity(String cluster, String node) {
        if (!isFormatted()) {
            throw new RadishspurException(ErrorCode.DATA_FOLDER_STATE, "the data folder is not formatted: " + path);
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
     * Lists the files whose names start with a prefix, except temporary ones.
     *
     * @param prefix the prefix.
     * @return the files, sorted by name.
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
     * Writes a file atomically: after a crash, it has either all of its new content or none.
     *
     * @param name the name of the file.
     * @param bytes the content of the file.
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
     * Syncs the folder, which makes the names of new files durable.
     *
     * @throws IOException if the folder can't be synced.
     */
    void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Returns the free space on the disk.
     *
     * @return the free space in bytes, or 0 if it can't be determined.
     */
    public long usableBytes() {
        // Avoids a FileStore: it would read the list of all mounts at each call, on the thread that writes to the disk.
        return path.toFile().getUsableSpace();
    }
}
