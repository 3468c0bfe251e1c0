package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.radishspur.model.catalogue.Upstream;

/**
 * Orders the requests of one pool that wait for a slot. Those of the more urgent organisation come first, then those of
 * the more urgent tier, however long their answers are: under overload, none is refused for a less urgent one.
 *
 * <p>Among the requests of one organisation's rank and tier, those whose answer can still be on time come first, by their
 * virtual deadline ({@link QueuePriority}). A request that has missed its target by more than its wait was uncertain comes
 * behind them, as a slot makes it no more timely, and makes another late; among these the one whose time ends first comes
 * first.
 */
public final class AdmissionQueue {
    private final TreeSet<QueuedRequest> requests = new TreeSet<>(Comparator.comparingInt(QueuedRequest::rank)
            .thenComparingInt(QueuedRequest::tier)
            .thenComparing(QueuedRequest::isDemoted)
            .thenComparingLong(queued -> queued.isDemoted() ? queued.queueingDeadline() : queued.virtualDeadline())
            .thenComparingLong(QueuedRequest::sequence));
    private final WaitEstimate waits;
    private long nextSequence;

    /** Creates an empty queue with the release rates that are assumed. */
    AdmissionQueue(ReleaseRate assumedRate) {
        waits = new WaitEstimate(assumedRate);
    }

    /**
     * Records that a slot was released.
     *
     * @param upstream the upstream whose slot it is.
     * @param now the current time in milliseconds.
     */
    public void recordRelease(Upstream upstream, long now) {
        waits.recordRelease(upstream, now);
    }

    /**
     * Records the arrival of a request that isn't queued yet. This must precede the estimate of its wait, which depends on
     * whether the queue was empty.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     */
    public void recordArrival(QueuedRequest queued, long now) {
        waits.recordArrival(queued, now);
        if (requests.isEmpty()) {
            waits.recordNoneWaiting(now);
        }
    }

    /**
     * Estimates how long a request that isn't queued would wait for a slot, from the requests that wait and those that are
     * likely to come and to be served before it.
     *
     * <p>Where its answer will be late, those of its own rank and tier that can be on time are served before it too. Where
     * it can be on time, this records how uncertain the wait is, for {@link #demoteLate}.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     * @return the time in milliseconds; {@link WaitEstimate#NEVER} where no room is expected for it.
     */
    public long expectedWaitMillis(QueuedRequest queued, long now) {
        if (!queued.isDemoted()) {
            double ahead = ahead(queued, requests.headSet(queued, false), now);
            long wait = waits.millis(queued, ahead, 0, now);
            if (!queued.isPastLatestStart(now + wait)) {
                queued.tolerateDelay(waits.deviationMillis(queued, ahead, now));
                return wait;
            }
        }
        double overtaking = waits.overtakingPerSecond(queued, now);
        return waits.millis(queued, aheadWhenLate(queued, now), overtaking, now);
    }

    /**
     * Estimates after how long the requests that wait and are served before a request that is late, or will be, have got
     * their slots.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     * @return the time in milliseconds.
     */
    public long millisUntilServed(QueuedRequest queued, long now) {
        return waits.millis(queued, aheadWhenLate(queued, now), 0, now);
    }

    /**
     * Returns in how long one slot is released that a request may take.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     * @return the time in milliseconds.
     */
    public double millisPerRelease(QueuedRequest queued, long now) {
        return 1_000 / waits.releasesPerSecond(queued, now);
    }

    private double aheadWhenLate(QueuedRequest queued, long now) {
        return ahead(
                queued,
                requests.stream()
                        .filter(other -> other.isServedBeforeWhenLate(queued))
                        .toList(),
                now);
    }

    private double ahead(QueuedRequest queued, Collection<QueuedRequest> before, long now) {
        if (queued.terms().allowedDomains().isEmpty()) {
            return before.size();
        }
        RequestCounts counts = new RequestCounts();
        before.forEach(counts::add);
        return counts.takingSlotsOf(queued, now);
    }

    /**
     * Removes the requests that can't get a slot in time any more, even if no other request came.
     *
     * @param now the current time in milliseconds.
     * @return the removed requests.
     */
    public List<QueuedRequest> removeHopeless(long now) {
        Map<SlotKind, Double> millisPerRelease = new HashMap<>();
        RequestCounts kept = new RequestCounts();
        List<QueuedRequest> hopeless = new ArrayList<>();
        for (QueuedRequest queued : requests) {
            double millis =
                    millisPerRelease.computeIfAbsent(SlotKind.of(queued), kind -> millisPerRelease(queued, now));
            double wait = (kept.takingSlotsOf(queued, now) + 1) * millis;
            if (now + wait > queued.queueingDeadline()) {
                hopeless.add(queued);
            } else {
                kept.add(queued);
            }
        }
        hopeless.forEach(requests::remove);
        return hopeless;
    }

    /**
     * Adds a request.
     *
     * @param queued the request.
     */
    public void add(QueuedRequest queued) {
        requests.add(queued);
    }

    /**
     * Assigns a request its sequence number, by which those that are alike keep their order. This must precede {@link #add}.
     *
     * @param queued the request.
     */
    public void assignSequence(QueuedRequest queued) {
        queued.setSequence(++nextSequence);
    }

    /**
     * Removes a request.
     *
     * @param queued the request.
     * @return whether it was waiting.
     */
    public boolean remove(QueuedRequest queued) {
        return requests.remove(queued);
    }

    /**
     * Removes the requests whose queueing deadline has passed.
     *
     * @param now the current time in milliseconds.
     * @return the removed requests.
     */
    public List<QueuedRequest> removeExpired(long now) {
        List<QueuedRequest> expired = new ArrayList<>();
        for (Iterator<QueuedRequest> each = requests.iterator(); each.hasNext(); ) {
            QueuedRequest queued = each.next();
            if (queued.queueingDeadline() <= now) {
                each.remove();
                expired.add(queued);
            }
        }
        return expired;
    }

    /**
     * Puts the requests that have waited beyond their latest start behind those that can be on time. One that has missed it by
     * less than its wait was uncertain keeps its place: it waited for that slot, and would hardly get another one while
     * slots are short.
     *
     * @param now the current time in milliseconds.
     */
    public void demoteLate(long now) {
        List<QueuedRequest> late = requests.stream()
                .filter(queued -> !queued.isDemoted() && queued.losesPlace(now))
                .toList();
        for (QueuedRequest queued : late) {
            requests.remove(queued);
            queued.demote();
            requests.add(queued);
        }
    }

    /**
     * Returns the waiting requests in the order in which they should get slots.
     *
     * @return a copy that later changes to the queue don't affect.
     */
    public List<QueuedRequest> inOrder() {
        return new ArrayList<>(requests);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number.
     */
    public int size() {
        return requests.size();
    }

    /** Counts requests by the failure domains that may run them. */
    private final class RequestCounts {
        private final Map<List<String>, QueuedRequest> firstByDomains = new HashMap<>();
        private final Map<List<String>, Integer> countByDomains = new HashMap<>();
        private int count;

        void add(QueuedRequest queued) {
            List<String> domains = queued.terms().allowedDomains();
            firstByDomains.putIfAbsent(domains, queued);
            countByDomains.merge(domains, 1, Integer::sum);
            count++;
        }

        /** Returns how many of the requests are likely to take slots which another one may take. */
        double takingSlotsOf(QueuedRequest queued, long now) {
            if (queued.terms().allowedDomains().isEmpty()) {
                return count;
            }
            double sum = 0;
            for (Map.Entry<List<String>, QueuedRequest> each : firstByDomains.entrySet()) {
                if (queued.competesWith(each.getValue())) {
                    sum += countByDomains.get(each.getKey()) * waits.shareOfSlots(queued, each.getValue(), now);
                }
            }
            return sum;
        }
    }

    /** What decides which released slots a request may take, and how fast these are released. */
    private record SlotKind(boolean plainCall, List<String> allowedDomains) {
        static SlotKind of(QueuedRequest queued) {
            return new SlotKind(queued.isPlainCall(), queued.terms().allowedDomains());
        }
    }
}
