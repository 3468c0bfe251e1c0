package org.radishspur.replication.state;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Holds the answer to a request that ran, for callers that ask again.
 *
 * @param status the HTTP status.
 * @param contentType the type of the body, or an empty text.
 * @param body the whole body.
 * @param whole whether the body is stored; an answer that was too large is remembered without it.
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean whole) {
    private static final int UNKNOWN_STATUS = 0;

    /**
     * Creates the memory of an answer whose body was too large to store.
     *
     * @param status the HTTP status.
     * @return the answer without its body.
     */
    public static StoredAnswer withoutBody(int status) {
        return new StoredAnswer(status, "", new byte[0], false);
    }

    /**
     * Creates the memory of a request that was dispatched and of which nobody can say whether it ran.
     *
     * @return the memory.
     */
    public static StoredAnswer ofUnknownOutcome() {
        return new StoredAnswer(UNKNOWN_STATUS, "", new byte[0], false);
    }

    /**
     * Returns whether nobody can say whether the request ran.
     *
     * @return whether the outcome is unknown.
     */
    @JsonIgnore
    public boolean isUnknownOutcome() {
        return status == UNKNOWN_STATUS;
    }
}
