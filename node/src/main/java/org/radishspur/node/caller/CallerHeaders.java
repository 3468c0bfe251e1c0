package org.radishspur.node.caller;

/**
 * Names the headers of callers' requests and their answers; docs/EDGES.md describes them.
 */
final class CallerHeaders {
    /** The organisation that sends the request. */
    static final String ORGANISATION = "Radishspur-Organisation";

    /** The requested tier. */
    static final String TIER = "Radishspur-Tier";

    /** The time from the request's arrival to its deadline, in milliseconds. */
    static final String DEADLINE_MILLIS = "Radishspur-Deadline-Millis";

    /** The idempotency key, which is the same for every retry of the request. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The expected length of the prompt in tokens. */
    static final String PROMPT_TOKENS = "Radishspur-Prompt-Tokens";

    /** The expected length of the answer in tokens. */
    static final String OUTPUT_TOKENS = "Radishspur-Output-Tokens";

    /** The upstream that answered. */
    static final String UPSTREAM = "Radishspur-Upstream";

    /** Whether the answer is the stored answer to an earlier request with the same key. */
    static final String REPLAYED = "Radishspur-Replayed";

    private CallerHeaders() {}
}
