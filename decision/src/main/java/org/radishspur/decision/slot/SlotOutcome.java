package org.radishspur.decision.slot;

/**
 * Describes how an attempt at an upstream ended, and what follows for the upstream and for the organisation's quota.
 */
public enum SlotOutcome {
    /** A complete answer was received that doesn't indicate a failure of the upstream. */
    SUCCESS(true) {
        @Override
        void notifyObserver(OutcomeObserver observer) {
            observer.recordAnswer(true);
        }
    },
    /** The upstream answered with an error or with a malformed answer. */
    FAILURE(true) {
        @Override
        void notifyObserver(OutcomeObserver observer) {
            observer.recordAnswer(false);
        }
    },
    /** The connection was lost before the answer was complete. */
    BROKEN(true) {
        @Override
        void notifyObserver(OutcomeObserver observer) {
            observer.recordBrokenConnection();
        }
    },
    /** The entry abandoned the attempt, or the caller disconnected. */
    ABANDONED(true),
    /** The upstream reported that it has not run the request. */
    NOT_RUN(false) {
        @Override
        void notifyObserver(OutcomeObserver observer) {
            observer.recordRefusal();
        }
    },
    /** Another instance answered at the upstream's address. */
    REPLACED(false) {
        @Override
        void notifyObserver(OutcomeObserver observer) {
            observer.recordReplacement();
        }
    },
    /** The entry could not connect to the upstream. */
    UNREACHABLE(false) {
        @Override
        void notifyObserver(OutcomeObserver observer) {
            observer.recordConnectFailure();
        }
    },
    /** The request was not sent. */
    UNUSED(false);

    private final boolean keepsQuotaCharge;

    SlotOutcome(boolean keepsQuotaCharge) {
        this.keepsQuotaCharge = keepsQuotaCharge;
    }

    /**
     * Returns whether the cost of the request stays charged to the quota, because the upstream may have run the
     * request.
     *
     * @return whether the charge stays; otherwise the cost is refunded.
     */
    public boolean keepsQuotaCharge() {
        return keepsQuotaCharge;
    }

    void notifyObserver(OutcomeObserver observer) {}

    /**
     * Receives what an outcome shows about the upstream.
     */
    interface OutcomeObserver {
        /** Records an answer; {@code succeeded} states whether it was complete and no failure of the upstream. */
        void recordAnswer(boolean succeeded);

        /** Records that the connection was lost. */
        void recordBrokenConnection();

        /** Records that the upstream turned the request away. */
        void recordRefusal();

        /** Records that another instance runs at the upstream's address. */
        void recordReplacement();

        /** Records that the entry could not connect to the upstream. */
        void recordConnectFailure();
    }
}
