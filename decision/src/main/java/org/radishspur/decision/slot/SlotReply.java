package org.radishspur.decision.slot;

import org.radishspur.model.catalogue.Upstream;

/**
 * Answers a {@link SlotRequest}.
 */
public sealed interface SlotReply {
    /**
     * Gives the request a slot.
     *
     * @param upstream where to send it.
     * @param eventTimeKnown whether the scheduler knows how fast the upstream is; if not, it wants to know soon.
     */
    record Granted(Upstream upstream, boolean eventTimeKnown) implements SlotReply {}

    /**
     * Says that the request waits for a slot; another reply follows.
     *
     * @param expectedMillis how long it is likely to wait.
     */
    record Queued(long expectedMillis) implements SlotReply {}

    /**
     * Says that the request gets no slot.
     *
     * @param reason why not.
     * @param retryMillis after which time there is likely to be room.
     * @param waiting how many requests wait.
     * @param slots how many slots the pool has.
     */
    record Rejected(Reason reason, long retryMillis, int waiting, int slots) implements SlotReply {
        /**
         * Rejects a request without saying how full the pool is.
         *
         * @param reason why.
         * @param retryMillis after which time there is likely to be room.
         */
        public Rejected(Reason reason, long retryMillis) {
            this(reason, retryMillis, 0, 0);
        }
    }

    /** Says why a request gets no slot. */
    enum Reason {
        /** The organisation has used up its quota. */
        QUOTA,
        /** No slot becomes free in time. */
        OVERLOAD,
        /** This scheduler doesn't know yet what is in force; another one may. */
        UNREADY
    }
}
