package org.radishspur.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Reads files that hold a secret.
 */
public enum SecretFile {
    /** The only instance; reading keeps no state. */
    INSTANCE;

    /** Minimum length of a secret, without surrounding white space. */
    private static final int MIN_CHARACTERS = 16;

    /**
     * Reads the secret, after a check that neither the group nor other users can read the file.
     *
     * @param file the file.
     * @return the secret without surrounding white space.
     * @throws RadishspurException if the file can't be read, can be read by others, or holds too short a secret.
     */
    public String read(Path file) {
        try {
            Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
            if (permissions.contains(PosixFilePermission.OTHERS_READ)
                    || permissions.contains(PosixFilePermission.GROUP_READ)) {
                throw new RadishspurException(
                        ErrorCode.FILE_UNREADABLE, file + " must be readable by its owner only (chmod 600)");
            }
            String secret = Files.readString(file).strip();
            if (secret.length() < MIN_CHARACTERS) {
                throw new RadishspurException(
                        ErrorCode.FILE_UNREADABLE, file + " must hold at least " + MIN_CHARACTERS + " characters");
            }
            return secret;
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FILE_UNREADABLE, "can't read " + file, exception);
        }
    }
}
