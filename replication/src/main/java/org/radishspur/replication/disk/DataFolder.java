package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Formats and identifies one data folder, all files of which lie directly in it.
 *
 * @param path the folder.
 */
public record DataFolder(Path path) {
    private static final String IDENTITY_FILE = "identity.json";

    /**
     * Formats the folder by storing an identity in it; a folder is formatted only once.
     *
     * @param identity the identity of the folder.
     * @throws RadishspurException if the folder is already formatted or can't be written.
     */
    public void format(Identity identity) {
        try {
            Files.createDirectories(path);
            if (Files.exists(path.resolve(IDENTITY_FILE))
                    || !storage().list("journal-").isEmpty()) {
                throw new RadishspurException(
                        ErrorCode.DATA_FOLDER_STATE, "the data folder is already formatted: " + path);
            }
            storage().writeAtomically(IDENTITY_FILE, identity.write().getBytes(StandardCharsets.UTF_8));
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

    /** Returns access to the files of the folder. */
    Storage storage() {
        return new FolderStorage(path);
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
