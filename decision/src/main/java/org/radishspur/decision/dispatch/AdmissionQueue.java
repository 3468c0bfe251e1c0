package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Orders the requests of one pool that wait for a slot: first those that can still be on time, among them the more urgent
 * organisation, then those to which a slot is worth most, and among equals the one whose queueing deadline comes first.
 *
 * <p>Guards against a burst that never ends: callers that were refused retry with much time left and would go before all
 * that arrive, so that these are refused and retry late in turn.
 */
public final class AdmissionQueue {
    /** How long releases are remembered to tell how fast slots become free, in milliseconds. */
    private static final long RATE_WINDOW_MILLIS = 1_000;

    /** The rate that counts where nothing was released lately, in slots a second. */
    private static final double MIN_RELEASES_PER_SECOND = 2;

    private final TreeSet<QueuedRequest> requests = new TreeSet<>(Comparator.comparing(QueuedRequest::isLate)
            .thenComparingInt(QueuedRequest::rank)
            .thenComparing(Comparator.comparingDouble(QueuedRequest::slotValue).reversed())
            .thenComparingLong(QueuedRequest::queueingDeadline)
            .thenComparingLong(QueuedRequest::sequence));
    private final Deque<Long> releases = new ArrayDeque<>();
    private long nextSequence;

    /** Creates an empty queue. */
    public AdmissionQueue() {}

    /**
     * Notes that a slot was freed.
     *
     * @param now the clock in milliseconds.
     */
    public void recordRelease(long now) {
        releases.addLast(now);
        removeOldReleases(now);
    }

    /**
     * Estimates how long a request would wait for a slot.
     *
     * @param queued the request.
     * @param now the clock in milliseconds.
     * @return the time in milliseconds.
     */
    public long expectedWaitMillis(QueuedRequest queued, long now) {
        removeOldReleases(now);
        double rate = Math.max(MIN_RELEASES_PER_SECOND, releases.size() * 1_000.0 / RATE_WINDOW_MILLIS);
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
     * Gives a request its position in the order, before it is compared with others.
     *
     * @param queued the request.
     * @param value what a slot is worth to it.
     */
    public void assignPosition(QueuedRequest queued, double value) {
        queued.assignPosition(++nextSequence, value);
    }

    /**
     * Takes a request out.
     *
     * @param queued the request.
     * @return whether it was waiting.
     */
    public boolean remove(QueuedRequest queued) {
        return requests.remove(queued);
    }

    /**
     * Takes out the requests for which waiting makes no sense any more.
     *
     * @param now the clock in milliseconds.
     * @return the requests.
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
     * Returns the requests in their order.
     *
     * @return a copy, which stays as it is when the queue changes.
     */
    public List<QueuedRequest> inOrder() {
        return new ArrayList<>(requests);
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number.
     */
    public int size() {
        return requests.size();
    }

    private void removeOldReleases(long now) {
        while (!releases.isEmpty() && releases.peekFirst() <= now - RATE_WINDOW_MILLIS) {
            releases.removeFirst();
        }
    }
}
