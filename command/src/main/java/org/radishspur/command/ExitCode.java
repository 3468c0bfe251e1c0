package org.radishspur.command;

/**
 * Lists the exit codes of the command line, which docs/OPERATIONS.md documents.
 */
enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The cluster refused the call, or its reply could not be read. */
    FAILED(1),
    /** The tables or settings are not valid. */
    INVALID(3),
    /** A row has been changed by another edit in the meantime. */
    CONFLICT(4),
    /** No node or no control leader answered. */
    UNREACHABLE(5),
    /** The edit was accepted, but was not in force on every node within the time to wait. */
    NOT_IN_FORCE(6);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
