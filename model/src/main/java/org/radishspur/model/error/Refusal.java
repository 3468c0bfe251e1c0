package org.radishspur.model.error;

/**
 * Ends a caller's request with a reason, with what is known about its running, and with a time to retry.
 *
 * @param reason why the request ends here.
 * @param runState what is known about whether the request ran.
 * @param detail one sentence for a human reader.
 * @param retryAfterMillis how long the caller had better wait before asking again, or 0 where asking again is useless.
 */
public record Refusal(RefusalReason reason, RunState runState, String detail, long retryAfterMillis) {

    /**
     * Creates a refusal of a request that provably did not run and had better not be repeated unchanged.
     *
     * @param reason why the request ends here.
     * @param detail one sentence for a human reader.
     * @return the refusal.
     */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, RunState.NOT_RUN, detail, 0);
    }

    /**
     * Creates a refusal of a request that provably did not run and may be repeated later.
     *
     * @param reason why the request ends here.
     * @param detail one sentence for a human reader.
     * @param retryAfterMillis how long the caller had better wait.
     * @return the refusal.
     */
    public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMillis) {
        return new Refusal(reason, RunState.NOT_RUN, detail, retryAfterMillis);
    }

    /**
     * Creates a refusal of a request of which nobody can say whether it ran.
     *
     * @param reason why the request ends here.
     * @param detail one sentence for a human reader.
     * @return the refusal.
     */
    public static Refusal unknown(RefusalReason reason, String detail) {
        return new Refusal(reason, RunState.UNKNOWN, detail, 0);
    }
}
