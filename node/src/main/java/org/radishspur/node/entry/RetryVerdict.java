package org.radishspur.node.entry;

/**
 * States whether a request that may have run already may be sent to another upstream, and if not, why.
 */
enum RetryVerdict {
    /** It may be sent to another upstream. */
    ALLOWED,
    /** Its route doesn't allow it to run more than once. */
    NOT_REPEATABLE,
    /** It was sent to as many upstreams as its route allows. */
    ALL_UPSTREAMS_USED,
    /** A part of its response was sent to the caller, and no other upstream can continue it. */
    RESPONSE_BEGUN,
    /** Too little time is left until its deadline. */
    DEADLINE_NEAR,
    /** It may be what ended its upstream. */
    CRASH_SUSPECT,
    /** The retry budget of its pool is used up. */
    OVER_BUDGET
}
