package org.radishspur.model.error;

/**
 * Lists the reasons for which a caller's request ends without a complete upstream response; each has its own counter.
 */
public enum RefusalReason {
    /** The bytes on the connection are not a valid HTTP request. */
    MALFORMED_REQUEST("malformed-request", 400),
    /** A header that the system reads has an invalid value. */
    BAD_HEADER("bad-header", 400),
    /** The request names no organisation. */
    ORGANISATION_REQUIRED("organisation-required", 400),
    /** The route accepts a request only with an idempotency key. */
    KEY_REQUIRED("key-required", 400),
    /** No route matches the method and path. */
    UNKNOWN_ROUTE("unknown-route", 404),
    /** The body is larger than the route allows. */
    BODY_TOO_LARGE("body-too-large", 413),
    /** The request line or the headers are larger than the node allows. */
    HEADERS_TOO_LARGE("headers-too-large", 431),
    /** The idempotency key has already been used for another request. */
    KEY_REUSED("key-reused", 422),
    /** A request with the same key is in flight. */
    REQUEST_IN_PROGRESS("request-in-progress", 409),
    /** A request with the same key was dispatched, and its outcome is unknown. */
    OUTCOME_UNKNOWN("outcome-unknown", 409),
    /** A request with the same key ran, but its response was too large to be stored. */
    ANSWER_NOT_STORED("answer-not-stored", 409),
    /** The queue of the pool is full, and this request was shed as one of its least urgent. */
    OVERLOADED("overloaded", 503),
    /** The request can't be finished before its deadline. */
    DEADLINE_UNREACHABLE("deadline-unreachable", 503),
    /** The pool has no upstream that could run the request. */
    NO_UPSTREAM("no-upstream", 503),
    /** The node has not received the tables yet, or has lost its connection to the cluster. */
    NOT_READY("not-ready", 503),
    /** The node is shutting down. */
    SHUTTING_DOWN("shutting-down", 503),
    /** The claim that a non-idempotent request needs can't be committed at present. */
    CLAIMS_UNAVAILABLE("claims-unavailable", 503),
    /** The scheduler that owns the pool's queue can't be reached. */
    OWNER_UNREACHABLE("owner-unreachable", 503),
    /** The request was running at two upstreams when they crashed, so that it may be the cause. */
    CRASH_SUSPECT("crash-suspect", 503),
    /** The upstream refused the request before running it, and so did every retry. */
    UPSTREAM_REFUSED("upstream-refused", 503),
    /** No connection to an upstream could be made. */
    UPSTREAM_UNREACHABLE("upstream-unreachable", 503),
    /** The upstream failed after bytes of the request had been sent to it. */
    UPSTREAM_FAILED("upstream-failed", 502),
    /** The upstream sent nothing for longer than the timeout. */
    UPSTREAM_TIMEOUT("upstream-timeout", 504),
    /** The deadline passed while the upstream was running the request. */
    DEADLINE_PASSED("deadline-passed", 504),
    /** The caller disconnected before the response was complete. */
    CALLER_GONE("caller-gone", 499);

    private final String code;
    private final int status;

    RefusalReason(String code, int status) {
        this.code = code;
        this.status = status;
    }

    /**
     * Returns the text of this reason, as callers receive it; it never changes.
     *
     * @return the text of this reason.
     */
    public String code() {
        return code;
    }

    /**
     * Returns the HTTP status of a response that refuses a request for this reason.
     *
     * @return the HTTP status.
     */
    public int status() {
        return status;
    }
}
