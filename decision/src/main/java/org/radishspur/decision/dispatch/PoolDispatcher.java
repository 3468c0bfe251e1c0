package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides for the requests of one pool at one scheduler: who gets a slot and where, who waits, and who is refused.
 *
 * <p>A request that finds a free slot gets it at once. Beyond the slots, requests wait here and not at the upstreams,
 * which know no tiers and admit in order of arrival. A request that can't expect a slot while an answer is worth waiting
 * for is refused at once, so that its caller can retry when there is room.
 */
public final class PoolDispatcher {
    /** The least Retry-After, in milliseconds; sooner nothing has changed. */
    private static final long MIN_RETRY_AFTER_MILLIS = 150;

    /** The scan for a request that can be granted stops after this many failures; the rest would fare no better. */
    private static final int MAX_FAILED_GRANTS = 3;

    /**
     * The part of the slots that a request leaves free for those to which a slot is worth a tier more. Several schedulers
     * take slots at once, so that the order of one queue doesn't keep tiers apart; a few free slots do, because one
     * becomes free somewhere every few milliseconds.
     */
    private static final double RESERVED_SHARE_PER_TIER = 0.04;

    private final UpstreamPool upstreams;
    private final SlotValues slotValues = new SlotValues();
    private final AdmissionQueue queue = new AdmissionQueue();

    /**
     * Creates a dispatcher without waiting requests.
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
     * Returns how many requests wait.
     *
     * @return the number.
     */
    public int waiting() {
        return queue.size();
    }

    /**
     * Offers a request.
     *
     * @param queued the request.
     * @param now the clock in milliseconds.
     * @return what becomes of it.
     */
    public Decision offer(QueuedRequest queued, long now) {
        slotValues.addTier(queued.work().tier());
        queue.assignPosition(queued, slotValues.valueFor(queued));
        Optional<UpstreamLoad> free = findSlot(queued, now);
        if (free.isPresent()) {
            return grant(queued, free.get(), now);
        }
        long wait = queue.expectedWaitMillis(queued, now);
        if (now + wait > queued.queueingDeadline()) {
            return new Decision.Refused(
                    queued, Math.max(MIN_RETRY_AFTER_MILLIS, wait), queue.size(), upstreams.slots(now));
        }
        queue.add(queued);
        return new Decision.Waits(queued, wait);
    }

    /**
     * Grants slots that have become free, and refuses requests whose queueing deadline has passed.
     *
     * @param now the clock in milliseconds.
     * @return what was decided, in order; each grant is in progress from now on.
     */
    public List<Decision> advance(long now) {
        List<Decision> decisions = new ArrayList<>();
        for (QueuedRequest expired : queue.removeExpired(now)) {
            long wait = queue.expectedWaitMillis(expired, now);
            decisions.add(new Decision.Refused(
                    expired, Math.max(MIN_RETRY_AFTER_MILLIS, wait), queue.size(), upstreams.slots(now)));
        }
        int failed = 0;
        for (QueuedRequest queued : queue.inOrder()) {
            Optional<UpstreamLoad> free = findSlot(queued, now);
            if (free.isPresent()) {
                queue.remove(queued);
                decisions.add(grant(queued, free.get(), now));
            } else if (++failed == MAX_FAILED_GRANTS) {
                break;
            }
        }
        return decisions;
    }

    /**
     * Frees a slot.
     *
     * @param upstream where the request was.
     * @param queued the request.
     * @param now the clock in milliseconds.
     */
    public void release(UpstreamLoad upstream, QueuedRequest queued, long now) {
        upstream.ended(queued);
        queue.recordRelease(now);
    }

    /**
     * Notes that a request was answered whole, and learns for how long requests like it hold a slot.
     *
     * @param queued the request.
     * @param millis how long it has held its slot.
     */
    public void answered(QueuedRequest queued, long millis) {
        slotValues.recordHold(queued.work().tier(), millis);
        upstreams.recordHold(millis);
    }

    /**
     * Takes a request out of the queue.
     *
     * @param queued the request.
     * @return whether it was waiting.
     */
    public boolean withdraw(QueuedRequest queued) {
        return queue.remove(queued);
    }

    private Optional<UpstreamLoad> findSlot(QueuedRequest queued, long now) {
        // Guards against a burst that refused callers retry into: an answer on time is worth several late
        // ones, and each slot that a late one takes makes another caller late.
        return upstreams.choose(queued, RESERVED_SHARE_PER_TIER * slotValues.tiersBehindBest(queued), now);
    }

    private static Decision grant(QueuedRequest queued, UpstreamLoad upstream, long now) {
        upstream.began(queued, queued.unreadTokens(), now);
        return new Decision.Granted(queued, upstream);
    }

    /**
     * Says what becomes of a request.
     */
    public sealed interface Decision {
        /**
         * Returns the request.
         *
         * @return the request.
         */
        QueuedRequest queued();

        /**
         * Says that the request has a slot.
         *
         * @param queued the request.
         * @param upstream where to send it.
         */
        record Granted(QueuedRequest queued, UpstreamLoad upstream) implements Decision {}

        /**
         * Says that the request waits.
         *
         * @param queued the request.
         * @param expectedMillis how long it is likely to wait.
         */
        record Waits(QueuedRequest queued, long expectedMillis) implements Decision {}

        /**
         * Says that the request is not going to run.
         *
         * @param queued the request.
         * @param retryAfterMillis after which time a slot is likely to be free.
         * @param waiting how many requests wait.
         * @param slots how many slots the pool has.
         */
        record Refused(QueuedRequest queued, long retryAfterMillis, int waiting, int slots) implements Decision {}
    }
}
