package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Dispatches the requests of one pool at one scheduler: grants each a slot at an upstream, queues it, or refuses it.
 *
 * <p>A request that finds a free slot gets it immediately. When all slots are taken, requests queue here and not at the
 * upstreams, which have no tiers and admit in order of arrival. A request that can't expect a slot before its queueing
 * deadline is refused immediately, so that its caller can retry when there is capacity.
 */
public final class PoolDispatcher {
    /** Minimum Retry-After, in milliseconds; an earlier retry would find the same load. */
    private static final long MIN_RETRY_AFTER_MILLIS = 150;

    /**
     * Number of queued requests that may fail to get a slot before the scan of the queue stops; those behind them would
     * fail too.
     */
    private static final int MAX_FAILED_GRANTS = 3;

    /**
     * Share of the slots that a request leaves free for requests whose slot value is one tier higher. Queue order alone
     * doesn't separate tiers, because several schedulers take slots at the same time; a few free slots do, because one
     * becomes free somewhere every few milliseconds.
     */
    private static final double RESERVED_SHARE_PER_TIER = 0.04;

    private final UpstreamPool upstreams;
    private final SlotValues slotValues = new SlotValues();
    private final FairShares shares = new FairShares(
            queued -> slotValues.usualHoldMillis(queued.requirements().tier()));
    private final AdmissionQueue queue = new AdmissionQueue(shares);
    private long overtakingGrants;
    private long refusedAboveShare;

    /**
     * Creates a dispatcher with an empty queue.
     *
     * @param upstreams the upstreams of the pool.
     */
    public PoolDispatcher(UpstreamPool upstreams) {
        this.upstreams = upstreams;
    }

    /**
     * Returns the upstreams of the pool.
     *
     * @return the upstreams.
     */
    public UpstreamPool upstreams() {
        return upstreams;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number.
     */
    public int queueLength() {
        return queue.size();
    }

    /**
     * Returns how many requests were granted a slot before others of their tier because the organisations of these had
     * been granted more lately.
     *
     * @return the number since this dispatcher was created.
     */
    public long overtakingGrants() {
        return overtakingGrants;
    }

    /**
     * Returns how many requests were refused whose organisation had been granted more than its share lately.
     *
     * @return the number since this dispatcher was created.
     */
    public long refusedAboveShare() {
        return refusedAboveShare;
    }

    /**
     * Grants a slot to a new request, queues it or refuses it. Where a slot is free that a waiting request of another
     * organisation should get, the new one is queued, and {@link #dispatchQueued} is to be called.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     * @return the decision; a granted request is in progress from now on.
     */
    public Decision offer(QueuedRequest queued, long now) {
        slotValues.addTier(queued.requirements().tier());
        queue.assignPosition(queued, slotValues.valueFor(queued));
        shares.recordDemand(queued, now);
        Optional<UpstreamLoad> free = findSlot(queued, now);
        boolean yields = free.isPresent() && yieldsToRival(queued, now);
        if (free.isPresent() && !yields) {
            return grant(queued, free.get(), now);
        }
        shares.recordScarcity(queued, now);
        long wait = expectedWaitMillis(queued, now);
        if (now + wait > queued.queueingDeadline()) {
            return refuse(queued, wait, now);
        }
        queue.add(queued);
        return new Decision.Queued(queued, wait, yields);
    }

    /**
     * Grants free slots to queued requests, and refuses those whose queueing deadline has passed.
     *
     * @param now the current time in milliseconds.
     * @return the decisions, in order; a granted request is in progress from now on.
     */
    public List<Decision> dispatchQueued(long now) {
        List<Decision> decisions = new ArrayList<>();
        for (QueuedRequest expired : queue.removeExpired(now)) {
            decisions.add(refuse(expired, expectedWaitMillis(expired, now), now));
        }
        int failed = 0;
        List<QueuedRequest> byValue = queue.byValue();
        List<QueuedRequest> inOrder = queue.inOrder(now);
        for (int position = 0; position < inOrder.size(); position++) {
            QueuedRequest queued = inOrder.get(position);
            Optional<UpstreamLoad> free = findSlot(queued, now);
            if (free.isPresent()) {
                overtakingGrants += byValue.indexOf(queued) > position ? 1 : 0;
                queue.remove(queued);
                decisions.add(grant(queued, free.get(), now));
            } else if (++failed == MAX_FAILED_GRANTS) {
                break;
            }
        }
        return decisions;
    }

    /**
     * Releases the slot of a request that has ended.
     *
     * @param upstream the upstream that had the request.
     * @param queued the request.
     * @param now the current time in milliseconds.
     */
    public void release(UpstreamLoad upstream, QueuedRequest queued, long now) {
        upstream.recordEnd(queued);
        queue.recordRelease(now);
    }

    /**
     * Records that a request was answered completely, and how long it held its slot.
     *
     * @param queued the request.
     * @param millis how long it held its slot, in milliseconds.
     */
    public void recordCompletion(QueuedRequest queued, long millis) {
        slotValues.recordHold(queued.requirements().tier(), millis);
        upstreams.recordHold(millis);
    }

    /**
     * Removes a request from the queue.
     *
     * @param queued the request.
     * @return whether it was queued.
     */
    public boolean withdraw(QueuedRequest queued) {
        return queue.remove(queued);
    }

    private long expectedWaitMillis(QueuedRequest queued, long now) {
        return Math.max(queue.expectedWaitMillis(queued, now), upstreams.takenFrom(queued, now) - now);
    }

    private Optional<UpstreamLoad> findSlot(QueuedRequest queued, long now) {
        // Late requests leave slots free as well. Otherwise a burst would go on through retries: an answer on time is
        // worth several late ones, and each slot that a late request takes makes another one late.
        double tiersBehind = shares.isAboveShare(queued, now)
                ? slotValues.tiersBehindBestIfLast(queued)
                : slotValues.tiersBehindBest(queued);
        return upstreams.choose(queued, RESERVED_SHARE_PER_TIER * tiersBehind, now);
    }

    /** Returns whether a waiting request of another organisation should get the slot that a new request has found. */
    private boolean yieldsToRival(QueuedRequest queued, long now) {
        return queue.size() > 0
                && shares.isAboveShare(queued, now)
                && queue.ahead(queued, now).stream()
                        .limit(MAX_FAILED_GRANTS)
                        .anyMatch(rival -> findSlot(rival, now).isPresent());
    }

    private Decision grant(QueuedRequest queued, UpstreamLoad upstream, long now) {
        upstream.recordSent(queued, queued.uncachedTokens(), now);
        shares.recordGrant(queued, now);
        return new Decision.Granted(queued, upstream);
    }

    private Decision refuse(QueuedRequest queued, long waitMillis, long now) {
        refusedAboveShare += shares.isAboveShare(queued, now) ? 1 : 0;
        return new Decision.Refused(
                queued, Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis), queue.size(), upstreams.slots(now));
    }

    /**
     * Represents what was decided for a request.
     */
    public sealed interface Decision {
        /**
         * Returns the request.
         *
         * @return the request.
         */
        QueuedRequest queued();

        /**
         * Grants the request a slot.
         *
         * @param queued the request.
         * @param upstream the upstream to send it to.
         */
        record Granted(QueuedRequest queued, UpstreamLoad upstream) implements Decision {}

        /**
         * Queues the request.
         *
         * @param queued the request.
         * @param expectedWaitMillis the expected time in the queue, in milliseconds.
         * @param yields whether a slot is free, which a waiting request of another organisation should get.
         */
        record Queued(QueuedRequest queued, long expectedWaitMillis, boolean yields) implements Decision {}

        /**
         * Refuses the request, which will not run.
         *
         * @param queued the request.
         * @param retryAfterMillis after how many milliseconds a slot is likely to be free.
         * @param queueLength the number of queued requests.
         * @param slots the number of slots of the pool.
         */
        record Refused(QueuedRequest queued, long retryAfterMillis, int queueLength, int slots) implements Decision {}
    }
}
