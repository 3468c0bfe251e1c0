package org.radishspur.model.error;

/**
 * Lists the outcomes that prove that an upstream did not run a request, so that the request may be retried at another
 * upstream; each has its own counter.
 */
public enum RetryReason {
    /** No connection was established, so that no byte of the request can have arrived. */
    CONNECT_FAILED("connect-failed"),
    /** The upstream responded that it did not admit the request. */
    NOT_ADMITTED("not-admitted"),
    /** The upstream responded that it is draining and did not admit the request. */
    DRAINING("draining");

    private final String code;

    RetryReason(String code) {
        this.code = code;
    }

    /**
     * Returns the text of this reason, under which its retries are counted; it never changes.
     *
     * @return the text of this reason.
     */
    public String code() {
        return code;
    }
}
