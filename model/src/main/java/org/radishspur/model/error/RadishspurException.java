package org.radishspur.model.error;

/**
 * Signals that one of the system's own operations failed; the code identifies the kind of failure.
 */
public class RadishspurException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception without a cause.
     *
     * @param code the code of the failure.
     * @param detail what an operator needs to know beyond the code.
     */
    public RadishspurException(ErrorCode code, String detail) {
        super(code.code() + ": " + detail);
        this.code = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the code of the failure.
     * @param detail what an operator needs to know beyond the code.
     * @param cause the exception that caused this one.
     */
    public RadishspurException(ErrorCode code, String detail, Throwable cause) {
        super(code.code() + ": " + detail, cause);
        this.code = code;
    }

    /**
     * Returns the code of the failure.
     *
     * @return the code.
     */
    public ErrorCode code() {
        return code;
    }
}
