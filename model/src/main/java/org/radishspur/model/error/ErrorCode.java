package org.radishspur.model.error;

/**
 * Lists the errors of the system's own operations, as opposed to those that end a caller's request.
 */
public enum ErrorCode {
    /** A value in a settings file is missing, unknown or out of range. */
    SETTINGS_INVALID("settings-invalid"),
    /** A file that the process needs can't be read or has unsafe permissions. */
    FILE_UNREADABLE("file-unreadable"),
    /** A journal holds a damaged record that intact records follow, a snapshot is damaged, or the log has a gap. */
    LOG_CORRUPT("log-corrupt"),
    /** A data folder belongs to another cluster or to another replica. */
    FOREIGN_DATA("foreign-data"),
    /** The data folder has not been formatted, or was to be formatted a second time. */
    DATA_FOLDER_STATE("data-folder-state"),
    /** The disk has no space left; data that is already synced is not affected. */
    DISK_FULL("disk-full"),
    /** A write or a sync failed, so that it is unknown what the disk holds. */
    DISK_FAILED("disk-failed"),
    /** A frame between processes is malformed, too large, truncated or of another protocol version. */
    FRAME_INVALID("frame-invalid"),
    /** A peer failed to prove that it holds the shared key of this cluster. */
    PEER_REFUSED("peer-refused"),
    /** A table file can't be parsed or holds rows that fail validation. */
    TABLE_INVALID("table-invalid"),
    /** An edit expected another revision of a row than the current one. */
    EDIT_CONFLICT("edit-conflict"),
    /** No control leader responded within the timeout; the outcome of the call is unknown. */
    CONTROL_UNREACHABLE("control-unreachable"),
    /** The administration token is missing or wrong. */
    TOKEN_REFUSED("token-refused"),
    /** A change of replicas is not allowed in the current configuration of the cluster. */
    REPLICA_CHANGE_REFUSED("replica-change-refused"),
    /** A request or a response of the operators' interfaces is malformed. */
    CALL_INVALID("call-invalid");

    private final String code;

    ErrorCode(String code) {
        this.code = code;
    }

    /**
     * Returns the text of this code. It never changes, so that documents and programs may match on it.
     *
     * @return the text of this code.
     */
    public String code() {
        return code;
    }
}
