package org.radishspur.decision.slot;

import org.radishspur.decision.dispatch.QueuedRequest;
import org.radishspur.decision.dispatch.VersionRule;

/**
 * Describes a slot that an entry holds and that the receiving scheduler did not grant. Another scheduler granted it, or
 * the entry's local scheduler did while no other was available.
 *
 * @param requestId the number of the request, unique within its entry.
 * @param pool the name of the pool.
 * @param upstreamRun identifies one run of the upstream's process; see
 *     {@link org.radishspur.model.catalogue.Upstream#runId()}.
 * @param pendingPromptTokens the number of prompt tokens that the upstream may still have to process.
 * @param tier the tier of the route; 0 is the most urgent.
 */
public record HeldSlot(long requestId, String pool, String upstreamRun, long pendingPromptTokens, int tier) {
    QueuedRequest toQueuedRequest(long now) {
        return new QueuedRequest(
                "",
                0,
                now,
                now,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(pendingPromptTokens, 0, tier, now, Long.MAX_VALUE));
    }
}
