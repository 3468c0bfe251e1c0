package org.radishspur.decision.upstream;

import org.radishspur.decision.permit.PermitRequest;

/**
 * Records the state of one request that an upstream runs: whether its prompt is processed, whether the upstream is silent
 * on it, and whether it is overdue.
 */
public final class InFlightRequest {
    private final PermitRequest request;
    private final long startedAt;
    private final int uncachedTokens;
    private final double expectedMicros;
    private boolean exclusive;
    private boolean prefilled;
    private boolean overdue;
    private boolean silent;
    private boolean wasSilent;

    InFlightRequest(
            PermitRequest request, long startedAt, int uncachedTokens, double expectedMicros, boolean exclusive) {
        this.request = request;
        this.startedAt = startedAt;
        this.uncachedTokens = uncachedTokens;
        this.expectedMicros = expectedMicros;
        this.exclusive = exclusive;
    }

    /** Returns how many tokens of its prompt the upstream has to process. */
    int uncachedTokens() {
        return uncachedTokens;
    }

    /** Returns whether its upstream may run no other request at the same time. */
    boolean isExclusive() {
        return exclusive;
    }

    /** Returns whether its prompt has been processed. */
    boolean isPrefilled() {
        return prefilled;
    }

    void markPrefilled() {
        prefilled = true;
    }

    /** Records that the upstream sends nothing for it; until it goes on, others may run beside an exclusive one. */
    void markSilent() {
        exclusive = false;
        silent = true;
        wasSilent = true;
    }

    void endSilence() {
        silent = false;
    }

    /**
     * Returns the request.
     *
     * @return the request.
     */
    public PermitRequest request() {
        return request;
    }

    /**
     * Returns whether the request has become overdue since the last call. Returns true at most once.
     *
     * @param factor the multiple of the expected time from which the request is overdue.
     * @param now the current time in microseconds.
     * @return whether it has become overdue.
     */
    public boolean becameOverdue(double factor, long now) {
        if (overdue || now - startedAt < factor * expectedMicros) {
            return false;
        }
        overdue = true;
        return true;
    }

    /**
     * Returns whether the upstream sends nothing for the request.
     *
     * @return whether it is silent.
     */
    public boolean isSilent() {
        return silent;
    }

    /**
     * Returns whether the upstream is or has been silent on the request.
     *
     * @return whether it has ever been.
     */
    public boolean wasSilent() {
        return wasSilent;
    }

    /**
     * Returns when the request was dispatched.
     *
     * @return the time in microseconds.
     */
    public long startedAt() {
        return startedAt;
    }

    /**
     * Returns how long the request has been in flight.
     *
     * @param now the current time in microseconds.
     * @return the time in microseconds.
     */
    public long elapsed(long now) {
        return now - startedAt;
    }
}
