package org.radishspur.model.error;

/**
 * Lists what may be known about whether an upstream ran a request.
 */
public enum RunState {
    /** It is certain that no upstream ran any part of the request. */
    NOT_RUN("not-run"),
    /** An upstream completed the request. */
    RAN("ran"),
    /** Bytes of the request may have reached an upstream, so that it may or may not have run. */
    UNKNOWN("unknown");

    private final String code;

    RunState(String code) {
        this.code = code;
    }

    /**
     * Returns the text of this state, as callers receive it; it never changes.
     *
     * @return the text of this state.
     */
    public String code() {
        return code;
    }
}
