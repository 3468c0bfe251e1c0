package org.radishspur.decision.slot;

import org.radishspur.decision.dispatch.Prospect;
import org.radishspur.model.catalogue.Upstream;

/**
 * A reply of a scheduler to a {@link SlotRequest}. A request may be queued first; it is then granted or rejected.
 */
public sealed interface SlotReply {
    /**
     * Grants the request a slot.
     *
     * @param upstream the upstream to send the request to.
     * @param eventTimeKnown whether the upstream's time for one event is known to the scheduler; if not, the entry
     *     reports it during the answer by {@link SlotReport.FirstEventTime}.
     */
    record Granted(Upstream upstream, boolean eventTimeKnown) implements SlotReply {}

    /**
     * Reports that the request is queued for a slot; another reply follows.
     *
     * @param expectedMillis the expected queueing time in milliseconds.
     */
    record Queued(long expectedMillis) implements SlotReply {}

    /**
     * Rejects the request.
     *
     * @param reason why the request gets no slot.
     * @param retryAfterMillis the time in milliseconds after which a retry is likely to get a slot.
     * @param queueLength the number of requests in the pool's queue, or 0 if the reply doesn't state it.
     * @param slots the number of slots in the pool, or 0 if the reply doesn't state it.
     * @param prospect how long the request would have to wait.
     */
    record Rejected(Reason reason, long retryAfterMillis, int queueLength, int slots, Prospect prospect)
            implements SlotReply {
        /** Replaces what an older build doesn't send. */
        public Rejected {
            prospect = prospect == null ? Prospect.NONE : prospect;
        }

        /**
         * Creates a rejection without the length of the queue and the number of slots.
         *
         * @param reason why the request gets no slot.
         * @param retryAfterMillis the time in milliseconds after which a retry is likely to get a slot.
         */
        public Rejected(Reason reason, long retryAfterMillis) {
            this(reason, retryAfterMillis, 0, 0, Prospect.NONE);
        }
    }

    /** Lists why a request gets no slot. */
    enum Reason {
        /** The organisation has used up its quota. */
        QUOTA,
        /** No slot is expected to become free within the maximum wait of the request. */
        OVERLOAD,
        /** This scheduler hasn't received its configuration yet; another scheduler may be ready. */
        UNREADY
    }
}
