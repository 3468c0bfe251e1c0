package org.radishspur.node.entry;

import java.util.Locale;

/**
 * Lists why the system ends a request by itself, each with its HTTP status.
 */
enum EndReason {
    /** The bytes are no request, or a part that the system needs is missing. */
    MALFORMED(400, true),
    /** The body is larger than callers may send. */
    BODY_TOO_LARGE(413, true),
    /** No key came with the request, or one that nobody holds. */
    KEY_UNKNOWN(401, true),
    /** No route matches. */
    ROUTE_UNKNOWN(404, true),
    /** The organisation has used up its limit. */
    QUOTA(429, true),
    /** The entry can't be sure what is in force. */
    UNCONFIRMED(503, true),
    /** No place will be free while an answer is worth waiting for. */
    OVERLOAD(503, true),
    /** The time ran out before the request was sent to an upstream. */
    EXPIRED(503, true),
    /** No upstream took the request. */
    NOT_TAKEN(503, true),
    /** The time ran out after the request was sent. */
    TIMEOUT(504, false),
    /** The connection to the upstream broke, or its answer can't be used. */
    UPSTREAM_FAILED(502, false);

    private final int status;
    private final boolean notRun;
    private final String code;

    EndReason(int status, boolean notRun) {
        this.status = status;
        this.notRun = notRun;
        code = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    int status() {
        return status;
    }

    /** Returns whether the request provably has not run and never will. */
    boolean isNotRun() {
        return notRun;
    }

    String code() {
        return code;
    }
}
