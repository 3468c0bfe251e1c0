package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Orders the requests of one pool that wait for a place: first those that can still be on time, among them the more urgent
 * organisation, then those to which a place is worth most, and among equals the one whose patience ends first.
 *
 * <p>Guards against a burst that never ends: callers that were refused come back with much time left and would stand before
 * all that arrive, so that these are refused and come back late in turn.
 */
public final class WaitingLine {
    /** How long releases are remembered to tell how fast places become free, in milliseconds. */
    private static final long RATE_WINDOW_MILLIS = 1_000;

    /** The rate that counts where nothing was released lately, in places a second. */
    private static final double LEAST_RATE = 2;

    private final TreeSet<Ticket> tickets = new TreeSet<>(Comparator.comparing(Ticket::isLate)
            .thenComparingInt(Ticket::rank)
            .thenComparing(Comparator.comparingDouble(Ticket::value).reversed())
            .thenComparingLong(Ticket::patientUntil)
            .thenComparingLong(Ticket::sequence));
    private final Deque<Long> releases = new ArrayDeque<>();
    private long nextSequence;

    /** Creates an empty line. */
    public WaitingLine() {}

    /**
     * Notes that this entry has released a place.
     *
     * @param now the clock in milliseconds.
     */
    public void released(long now) {
        releases.addLast(now);
        forget(now);
    }

    /**
     * Estimates how long a request would wait for a place.
     *
     * @param ticket the request.
     * @param now the clock in milliseconds.
     * @return the time in milliseconds.
     */
    public long expectedWait(Ticket ticket, long now) {
        forget(now);
        double rate = Math.max(LEAST_RATE, releases.size() * 1_000.0 / RATE_WINDOW_MILLIS);
        int ahead = tickets.headSet(ticket, false).size();
        return (long) ((ahead + 1) * 1_000 / rate);
    }

    /**
     * Adds a request.
     *
     * @param ticket the request.
     */
    public void add(Ticket ticket) {
        tickets.add(ticket);
    }

    /**
     * Gives a request its place in the order, before it is compared with others.
     *
     * @param ticket the request.
     * @param value what a place is worth to it.
     */
    public void enter(Ticket ticket, double value) {
        ticket.enter(++nextSequence, value);
    }

    /**
     * Takes a request out.
     *
     * @param ticket the request.
     * @return whether it was waiting.
     */
    public boolean remove(Ticket ticket) {
        return tickets.remove(ticket);
    }

    /**
     * Takes out the requests for which waiting makes no sense any more.
     *
     * @param now the clock in milliseconds.
     * @return the requests.
     */
    public List<Ticket> expire(long now) {
        List<Ticket> expired = new ArrayList<>();
        for (Iterator<Ticket> each = tickets.iterator(); each.hasNext(); ) {
            Ticket ticket = each.next();
            if (ticket.patientUntil() <= now) {
                each.remove();
                expired.add(ticket);
            }
        }
        return expired;
    }

    /**
     * Returns the requests in their order.
     *
     * @return a copy, which stays as it is when the line changes.
     */
    public List<Ticket> inOrder() {
        return new ArrayList<>(tickets);
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number.
     */
    public int size() {
        return tickets.size();
    }

    private void forget(long now) {
        while (!releases.isEmpty() && releases.peekFirst() <= now - RATE_WINDOW_MILLIS) {
            releases.removeFirst();
        }
    }
}
