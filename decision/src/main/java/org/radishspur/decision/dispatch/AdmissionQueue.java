package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Orders the requests of one pool that wait for a slot. Requests that can still be answered on time come first, then
 * those of the more urgent organisation, then those with the higher slot value; among equals, the earliest queueing
 * deadline.
 *
 * <p>Late requests come last so that a burst can end. A refused caller retries with much time left; if its retry went
 * before new requests, these would be refused, retry and be late in turn.
 */
public final class AdmissionQueue {
    /** Period over which released slots are counted to estimate the present release rate, in milliseconds. */
    private static final long PRESENT_WINDOW_MILLIS = 1_000;

    /** Period over which they are counted to estimate the usual rate, in milliseconds; longer than most stalls. */
    private static final long USUAL_WINDOW_MILLIS = 5_000;

    /** Minimum release rate that is assumed, in slots per second; it applies where no slot was released recently. */
    private static final double MIN_RELEASES_PER_SECOND = 2;

    private final TreeSet<QueuedRequest> requests = new TreeSet<>(Comparator.comparing(QueuedRequest::isLate)
            .thenComparing(QueuedRequest::isUnbooked)
            .thenComparingInt(QueuedRequest::rank)
            .thenComparing(Comparator.comparingDouble(QueuedRequest::slotValue).reversed())
            .thenComparingLong(QueuedRequest::queueingDeadline)
            .thenComparingLong(QueuedRequest::sequence));
    private final Deque<Long> presentReleases = new ArrayDeque<>();
    private final Deque<Long> usualReleases = new ArrayDeque<>();
    private long nextSequence;

    /** Creates an empty queue. */
    public AdmissionQueue() {}

    /**
     * Records that a slot was released.
     *
     * @param now the current time in milliseconds.
     */
    public void recordRelease(long now) {
        presentReleases.addLast(now);
        usualReleases.addLast(now);
        removeOldReleases(now);
    }

    /**
     * Estimates how long a request would wait for a slot, from its position and the present or the usual release rate,
     * whichever is higher.
     *
     * <p>While upstreams stall, no slot is released. By the present rate alone, requests that can be served right after
     * the stall would be refused.
     *
     * @param queued the request.
     * @param now the current time in milliseconds.
     * @return the time in milliseconds.
     */
    public long expectedWaitMillis(QueuedRequest queued, long now) {
        removeOldReleases(now);
        double present = presentReleases.size() * 1_000.0 / PRESENT_WINDOW_MILLIS;
        double usual = usualReleases.size() * 1_000.0 / USUAL_WINDOW_MILLIS;
        double rate = Math.max(MIN_RELEASES_PER_SECOND, Math.max(present, usual));
        int ahead = requests.headSet(queued, false).size();
        return (long) ((ahead + 1) * 1_000 / rate);
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
     * Assigns a request its sequence number and its slot value, by which it is compared with others. This must precede
     * {@link #add}.
     *
     * @param queued the request.
     * @param value the value of a slot to it.
     */
    public void assignPosition(QueuedRequest queued, double value) {
        queued.assignPosition(++nextSequence, value);
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

    private void removeOldReleases(long now) {
        removeUntil(presentReleases, now - PRESENT_WINDOW_MILLIS);
        removeUntil(usualReleases, now - USUAL_WINDOW_MILLIS);
    }

    private static void removeUntil(Deque<Long> releases, long until) {
        while (!releases.isEmpty() && releases.peekFirst() <= until) {
            releases.removeFirst();
        }
    }
}
