package org.radishspur.node.entry;

import java.util.Locale;

/**
 * The reasons for which an entry ends a request with an error response of its own. The code of a reason is its name in
 * lower case with hyphens; it is sent to callers, logged and part of metric names.
 */
enum EndReason {
    /** The request is malformed, or a required header is missing. */
    MALFORMED(400, true),
    /** The body exceeds the limit of the catalogue. */
    BODY_TOO_LARGE(413, true),
    /** The request has no key, or one that no organisation holds. */
    KEY_UNKNOWN(401, true),
    /** No route matches. */
    ROUTE_UNKNOWN(404, true),
    /** The quota of the organisation is exhausted. */
    QUOTA(429, true),
    /** The view of the entry was not confirmed recently enough, or no longer allows the request. */
    UNCONFIRMED(503, true),
    /** No failure domain lies in a region that the route and the organisation allow. */
    REGION_UNAVAILABLE(503, true),
    /** The entry holds as many bytes for its callers as it may. */
    MEMORY(503, true),
    /** No slot becomes free in time. */
    OVERLOAD(503, true),
    /** Several upstreams have ended while they ran this request, and none has answered it since. */
    CRASH_SUSPECT(503, true),
    /** The deadline passed before the request was sent to an upstream. */
    EXPIRED(503, true),
    /** No upstream accepted the request. */
    NOT_TAKEN(503, true),
    /** The deadline passed after the request was sent. */
    TIMEOUT(504, false),
    /** The connection to the upstream was lost or its response was invalid, and the request can't be retried. */
    UPSTREAM_FAILED(502, false);

    private final int status;
    private final boolean notRun;
    private final String code;

    EndReason(int status, boolean notRun) {
        this.status = status;
        this.notRun = notRun;
        code = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the HTTP status. */
    int status() {
        return status;
    }

    /** Returns whether the request is certain not to have run and not to run later. */
    boolean isNotRun() {
        return notRun;
    }

    /** Returns the code under which the reason is sent and logged. */
    String code() {
        return code;
    }
}
