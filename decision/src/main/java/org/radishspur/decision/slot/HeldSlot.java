package org.radishspur.decision.slot;

import org.radishspur.decision.dispatch.QueuedRequest;
import org.radishspur.decision.dispatch.VersionRule;

/**
 * Describes a slot that a scheduler has not granted itself: its entry came from another scheduler, or granted it alone.
 *
 * @param id the number of the request at its entry.
 * @param pool the pool.
 * @param run the run of the upstream.
 * @param promptTokens the tokens of the prompt that the upstream may still have to read.
 * @param tier the tier of the route.
 */
public record HeldSlot(long id, String pool, String run, long promptTokens, int tier) {
    QueuedRequest toQueued(long now) {
        return new QueuedRequest(
                "",
                0,
                now,
                now,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Work(promptTokens, 0, tier, now, Long.MAX_VALUE));
    }
}
