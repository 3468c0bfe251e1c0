package org.radishspur.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Reads a file that holds a secret.
 */
public enum SecretFile {
    /** The only instance; reading keeps no state. */
    INSTANCE;

    private static final int MINIMUM_CHARACTERS = 16;

    /**
     * Reads the secret and checks that nobody but its owner can.
     *
     * @param file the file.
     * @return the secret without surrounding white space.
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
            if (secret.length() < MINIMUM_CHARACTERS) {
                throw new RadishspurException(
                        ErrorCode.FILE_UNREADABLE, file + " must hold at least " + MINIMUM_CHARACTERS + " characters");
            }
            return secret;
        } catch (IOException exception) {
            throw new RadishspurException(ErrorCode.FILE_UNREADABLE, "can't read " + file, exception);
        }
    }
}
