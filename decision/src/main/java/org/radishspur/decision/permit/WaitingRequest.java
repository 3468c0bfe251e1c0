package org.radishspur.decision.permit;

/**
 * A request in the queue.
 */
final class WaitingRequest {
    final PermitRequest request;
    final long sequence;

    /** The estimated cost by {@link PoolSpeeds#costOf}, in microseconds. */
    final double cost;

    /**
     * The time in microseconds after which the request can no longer meet its deadline, by the speeds when it was last
     * checked.
     */
    long latestStart;

    /** How often a request of another organisation was granted although this one was first in order. */
    int timesPassedOver;

    WaitingRequest(PermitRequest request, long sequence, double cost, long latestStart) {
        this.request = request;
        this.sequence = sequence;
        this.cost = cost;
        this.latestStart = latestStart;
    }

    static int compareDeadline(WaitingRequest left, WaitingRequest right) {
        int order = Long.compare(left.request.deadlineAt(), right.request.deadlineAt());
        return order != 0 ? order : Long.compare(left.sequence, right.sequence);
    }

    static int compareLatestStart(WaitingRequest left, WaitingRequest right) {
        int order = Long.compare(left.latestStart, right.latestStart);
        return order != 0 ? order : Long.compare(left.sequence, right.sequence);
    }
}
