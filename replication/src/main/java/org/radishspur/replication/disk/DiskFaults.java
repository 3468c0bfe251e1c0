package org.radishspur.replication.disk;

import java.io.IOException;
import java.util.Locale;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;

/**
 * Translates I/O errors, and distinguishes a full disk, which an operator can fix, from a failing one.
 */
final class DiskFaults {
    private DiskFaults() {}

    static RadishspurException translate(String detail, IOException exception) {
        String message = String.valueOf(exception.getMessage()).toLowerCase(Locale.ROOT);
        boolean full = message.contains("no space left") || message.contains("quota exceeded");
        return new RadishspurException(full ? ErrorCode.DISK_FULL : ErrorCode.DISK_FAILED, detail, exception);
    }
}
