package org.radishspur.replication.state;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Holds the answer to a request that was dispatched, for callers that retry the request.
 *
 * @param status the HTTP status, or 0 where it is unknown whether the request ran.
 * @param contentType the content type of the body, or an empty string.
 * @param body the complete body, or an empty array where it isn't stored.
 * @param bodyStored whether the body is stored; a body that was too large isn't.
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean bodyStored) {
    private static final int UNKNOWN_STATUS = 0;

    /**
     * Creates an answer whose body was too large to store.
     *
     * @param status the HTTP status.
     * @return the answer without its body.
     */
    public static StoredAnswer withoutBody(int status) {
        return new StoredAnswer(status, "", new byte[0], false);
    }

    /**
     * Creates the answer for a request that was dispatched and may or may not have run.
     *
     * @return the answer without a status and body.
     */
    public static StoredAnswer ofUnknownOutcome() {
        return new StoredAnswer(UNKNOWN_STATUS, "", new byte[0], false);
    }

    /**
     * Returns whether it is unknown if the request ran.
     *
     * @return whether the outcome is unknown.
     */
    @JsonIgnore
    public boolean isUnknownOutcome() {
        return status == UNKNOWN_STATUS;
    }
}
