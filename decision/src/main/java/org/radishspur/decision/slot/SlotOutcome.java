package org.radishspur.decision.slot;

/**
 * Says how an attempt at an upstream ended, and what that shows about the upstream.
 */
public enum SlotOutcome {
    /** A whole answer came that is no failure of the upstream. */
    SUCCESS(true) {
        @Override
        void showTo(Evidence evidence) {
            evidence.answered(true);
        }
    },
    /** The upstream answered with a failure, or with bytes that can't be used. */
    FAILURE(true) {
        @Override
        void showTo(Evidence evidence) {
            evidence.answered(false);
        }
    },
    /** The connection broke before the answer was whole. */
    BROKEN(true) {
        @Override
        void showTo(Evidence evidence) {
            evidence.broke();
        }
    },
    /** The entry gave the attempt up, or its caller left. */
    ABANDONED(true),
    /** The upstream said that it has not run the request. */
    NOT_RUN(false),
    /** Another instance answered at the address. */
    REPLACED(false) {
        @Override
        void showTo(Evidence evidence) {
            evidence.markReplaced();
        }
    },
    /** No connection could be made. */
    UNREACHABLE(false) {
        @Override
        void showTo(Evidence evidence) {
            evidence.unreachable();
        }
    },
    /** The request was never sent. */
    UNUSED(false);

    private final boolean mayHaveRun;

    SlotOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the request may have run, so that its cost stays taken.
     *
     * @return whether it may.
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    void showTo(Evidence evidence) {}

    /**
     * Takes what an outcome shows about an upstream.
     */
    interface Evidence {
        /** Takes an answer, good or bad. */
        void answered(boolean good);

        /** Takes a broken connection. */
        void broke();

        /** Learns that the instance is gone. */
        void markReplaced();

        /** Takes a connection that could not be made. */
        void unreachable();
    }
}
