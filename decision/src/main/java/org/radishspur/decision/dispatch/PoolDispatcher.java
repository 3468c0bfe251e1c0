package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Dispatches the requests of one pool at one scheduler: grants each a slot at an upstream, queues it, or refuses it.
 *
 * <p>A request that finds a free slot gets it immediately. When all slots are taken, requests queue here and not at the
 * upstreams, which have no tiers and admit in order of arrival. A request that can expect a slot while that is of use to its
 * caller waits; one that can't is refused immediately, so that its caller can retry when there is capacity. A request that
 * waits is refused only when its prospects have changed: more urgent requests have come, or slots are released slowly.
 */
public final class PoolDispatcher {
    /**
     * How far the rates of released slots and of arrivals tell when there will be room, in milliseconds. Where more arrive
     * than slots are released, a caller is asked to retry after this time.
     */
    private static final long MAX_FORESIGHT_MILLIS = 2_000;

    /**
     * Number of queued requests that may fail to get a slot before those behind them are passed over, which would fail
     * too. It is counted by {@link FailedSearch}, as a slot that one request leaves may suit another.
     */
    private static final int MAX_FAILED_GRANTS = 3;

    /**
     * Number of queued requests that may wait for the sake of running streams without stopping the scan of the queue;
     * shorter prompts behind them may take the slots that they leave.
     */
    private static final int MAX_HELD_BACK = 3;

    /**
     * Share of the slots that a request leaves free for each more urgent tier of the pool ({@link TierHoldTimes}). Queue order
     * alone doesn't separate tiers, because several schedulers take slots at the same time; a few free slots do, because one
     * becomes free somewhere every few milliseconds.
     */
    private static final double RESERVED_SHARE_PER_TIER = 0.04;

    private final UpstreamPool upstreams;
    private final TierHoldTimes holdTimes = new TierHoldTimes();
    private final QueuePriority priority = new QueuePriority();
    private final AdmissionQueue queue;
    private final ReturnTimes returns = new ReturnTimes();

    /**
     * Creates a dispatcher with an empty queue.
     *
     * @param upstreams the upstreams of the pool.
     */
    public PoolDispatcher(UpstreamPool upstreams) {
        this.upstreams = upstreams;
        queue = new AdmissionQueue(upstreams.releaseRate());
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
     * Grants a slot to a new request, queues it or refuses it.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     * @return the decision; a granted request is in progress from now on.
     */
    public Decision offer(QueuedRequest queued, long now) {
        queue.recordArrival(queued, now);
        holdTimes.addTier(queued.tier());
        prepare(queued);
        queue.assignSequence(queued);
        Optional<UpstreamLoad> free = findSlot(queued, now);
        if (free.isPresent()) {
            return grant(queued, free.get(), now);
        }
        long wait = expectedWaitMillis(queued, now);
        if (now + wait > queued.queueingDeadline()) {
            return refuse(queued, wait, now);
        }
        queued.setExpectedWaitMillis(wait);
        queue.add(queued);
        return new Decision.Queued(queued, wait);
    }

    /**
     * Grants free slots to queued requests, and refuses those that can't get one in time any more.
     *
     * @param now the current time in milliseconds.
     * @return the decisions, in order; a granted request is in progress from now on.
     */
    public List<Decision> dispatchQueued(long now) {
        List<Decision> decisions = new ArrayList<>();
        queue.demoteLate(now);
        for (QueuedRequest expired : queue.removeExpired(now)) {
            decisions.add(refuse(expired, expectedWaitMillis(expired, now), now));
        }
        decisions.addAll(grantFreeSlots(now));
        queue.removeHopeless(now)
                .forEach(queued -> decisions.add(refuse(queued, expectedWaitMillis(queued, now), now)));
        return decisions;
    }

    private List<Decision> grantFreeSlots(long now) {
        List<Decision> granted = new ArrayList<>();
        Map<FailedSearch, Integer> failures = new HashMap<>();
        int heldBack = 0;
        for (QueuedRequest queued : queue.inOrder()) {
            if (isPrecluded(queued, failures, now)) {
                continue;
            }
            Optional<UpstreamLoad> free = findSlot(queued, now);
            if (free.isPresent()) {
                queue.remove(queued);
                granted.add(grant(queued, free.get(), now));
                continue;
            }
            if (queued.isHeldBack() && ++heldBack <= MAX_HELD_BACK) {
                continue;
            }
            FailedSearch failed = FailedSearch.of(queued, now);
            if (failures.merge(failed, 1, Integer::sum) == MAX_FAILED_GRANTS && failed.precludesAll()) {
                break;
            }
        }
        return granted;
    }

    /** Returns whether a request would get no slot for the same reason as some before it. */
    private static boolean isPrecluded(QueuedRequest queued, Map<FailedSearch, Integer> failures, long now) {
        List<String> domains = queued.terms().allowedDomains();
        return failures.getOrDefault(new FailedSearch(domains, Shortage.NO_SLOT), 0) == MAX_FAILED_GRANTS
                || failures.getOrDefault(new FailedSearch(domains, Shortage.beside(queued, now)), 0)
                        == MAX_FAILED_GRANTS;
    }

    private Decision refuse(QueuedRequest queued, long wait, long now) {
        long leftMillis = queued.requirements().endsAt() - now;
        // Where others will take each slot that is released meanwhile, a retry after those that wait now is refused
        // again.
        long roomAfterMillis = Math.max(queue.millisUntilServed(queued, now), Math.min(MAX_FORESIGHT_MILLIS, wait));
        long retryAfterMillis = returns.assign(
                Math.max(roomAfterMillis, upstreams.takenFrom(queued, now) - now),
                queue.millisPerRelease(queued, now),
                leftMillis,
                now);
        long usableMillis = Math.max(0, queued.queueingDeadline() - now);
        return new Decision.Refused(
                queued,
                retryAfterMillis,
                queue.size(),
                upstreams.slots(now),
                new Prospect(queued.expectedWaitMillis(), wait, usableMillis));
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
        queue.recordRelease(upstream.upstream(), now);
    }

    /**
     * Records that a request was answered completely, and how long it held its slot.
     *
     * @param queued the request.
     * @param millis how long it held its slot, in milliseconds.
     */
    public void recordCompletion(QueuedRequest queued, long millis) {
        holdTimes.recordHold(queued.tier(), millis);
        upstreams.recordHold(queued.isPlainCall(), millis);
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

    /** Sets until when a request can be on time and until when a slot is of use to it, and its order among those of its tier. */
    private void prepare(QueuedRequest queued) {
        RequestTimes times = upstreams.expectedTimes(queued);
        queued.setLatestStart(times.latestStart(queued));
        queued.setLatestFastStart(times.latestFastStart(queued));
        queued.limitWait(times.waitUntil(queued));
        queued.setVirtualDeadline(priority.recordAndComputeVirtualDeadline(queued, times));
    }

    private long expectedWaitMillis(QueuedRequest queued, long now) {
        return Math.max(queue.expectedWaitMillis(queued, now), upstreams.takenFrom(queued, now) - now);
    }

    private Optional<UpstreamLoad> findSlot(QueuedRequest queued, long now) {
        return upstreams.choose(queued, RESERVED_SHARE_PER_TIER * holdTimes.tiersToLeaveSlotsFor(queued.tier()), now);
    }

    private static Decision grant(QueuedRequest queued, UpstreamLoad upstream, long now) {
        upstream.recordSent(queued, queued.uncachedTokens(), now);
        return new Decision.Granted(queued, upstream);
    }

    /** Lists why a search for a slot fails; other requests would fail for the same reason. */
    private enum Shortage {
        /** No slot is free that the request may take. */
        NO_SLOT,
        /** Slots are free, but the request can be on time and waits for an upstream where it will be. */
        NO_SLOT_ON_TIME,
        /** Slots are free, but only of upstreams that are too slow for a late request. */
        NO_FAST_SLOT;

        /** Returns the shortage by which a request leaves free slots. */
        static Shortage beside(QueuedRequest queued, long now) {
            return queued.isSelective(now) ? NO_SLOT_ON_TIME : NO_FAST_SLOT;
        }
    }

    /**
     * A failed search for a slot.
     *
     * @param allowedDomains the failure domains in which a slot may be.
     * @param shortage why it failed.
     */
    private record FailedSearch(List<String> allowedDomains, Shortage shortage) {
        /** Returns the failure of a request that has just got no slot. */
        static FailedSearch of(QueuedRequest queued, long now) {
            return new FailedSearch(
                    queued.terms().allowedDomains(),
                    queued.leavesFreeSlots() ? Shortage.beside(queued, now) : Shortage.NO_SLOT);
        }

        /** Returns whether all requests fail where this search does. */
        boolean precludesAll() {
            return shortage == Shortage.NO_SLOT && allowedDomains.isEmpty();
        }
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
         */
        record Queued(QueuedRequest queued, long expectedWaitMillis) implements Decision {}

        /**
         * Refuses the request, which will not run.
         *
         * @param queued the request.
         * @param retryAfterMillis after how many milliseconds a slot is likely to be free.
         * @param queueLength the number of queued requests.
         * @param slots the number of slots of the pool.
         * @param prospect why it is refused.
         */
        record Refused(QueuedRequest queued, long retryAfterMillis, int queueLength, int slots, Prospect prospect)
                implements Decision {}
    }
}
