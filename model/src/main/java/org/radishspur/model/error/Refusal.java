package org.radishspur.model.error;

/**
 * Refuses a caller's request: gives the reason, whether the request ran at an upstream, and when it may be retried.
 *
 * @param reason why the request is refused.
 * @param runState what is known about whether an upstream ran the request.
 * @param detail a sentence that explains the refusal to a person.
 * @param retryAfterMillis the time that the caller should wait before a retry, in milliseconds, or 0 if a retry is of
 *     no use.
 */
public record Refusal(RefusalReason reason, RunState runState, String detail, long retryAfterMillis) {

    /**
     * Creates a refusal of a request that provably did not run and should not be retried unchanged.
     *
     * @param reason why the request is refused.
     * @param detail a sentence that explains the refusal to a person.
     * @return the refusal.
     */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, RunState.NOT_RUN, detail, 0);
    }

    /**
     * Creates a refusal of a request that provably did not run and may be retried later.
     *
     * @param reason why the request is refused.
     * @param detail a sentence that explains the refusal to a person.
     * @param retryAfterMillis the time that the caller should wait before a retry, in milliseconds.
     * @return the refusal.
     */
    public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMillis) {
        return new Refusal(reason, RunState.NOT_RUN, detail, retryAfterMillis);
    }

    /**
     * Creates a refusal of a request for which it is unknown whether it ran.
     *
     * @param reason why the request is refused.
     * @param detail a sentence that explains the refusal to a person.
     * @return the refusal.
     */
    public static Refusal outcomeUnknown(RefusalReason reason, String detail) {
        return new Refusal(reason, RunState.UNKNOWN, detail, 0);
    }
}
