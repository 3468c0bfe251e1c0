package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides for the requests of one pool at one entry: who gets a place and where, who waits, and who is refused.
 *
 * <p>A request that finds a free place gets it at once. Beyond the places, requests wait here and not at the upstreams,
 * which know no tiers and admit in order of arrival. A request that can't expect a place while an answer is worth waiting
 * for is refused at once, so that its caller can come back when there is room.
 */
public final class PoolDispatcher {
    /** The least time after which a refused caller should come back, in milliseconds; below it nothing has changed. */
    private static final long LEAST_RETURN_MILLIS = 150;

    /** The scan for a ticket that can be placed stops after this many failures; the rest would fare no better. */
    private static final int LONGEST_SCAN = 3;

    /**
     * The part of the places that a request leaves free for those to which a place is worth a tier more. Places are taken
     * by many entries at once, so that the order of one entry's line doesn't keep tiers apart; a few free places do,
     * because a place becomes free somewhere every few milliseconds.
     */
    private static final double RESERVED_PER_TIER = 0.04;

    private final UpstreamBoard board;
    private final PlaceValues values = new PlaceValues();
    private final WaitingLine line = new WaitingLine();

    /**
     * Creates a dispatcher without waiting requests.
     *
     * @param board the upstreams of the pool.
     */
    public PoolDispatcher(UpstreamBoard board) {
        this.board = board;
    }

    /**
     * Returns the upstreams of the pool.
     *
     * @return the board.
     */
    public UpstreamBoard board() {
        return board;
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number.
     */
    public int waiting() {
        return line.size();
    }

    /**
     * Offers a request.
     *
     * @param ticket the request.
     * @param now the clock in milliseconds.
     * @return what becomes of it.
     */
    public Decision offer(Ticket ticket, long now) {
        values.seen(ticket.work().tier());
        line.enter(ticket, values.of(ticket));
        Optional<UpstreamLoad> free = place(ticket, now);
        if (free.isPresent()) {
            return granted(ticket, free.get(), now);
        }
        long wait = line.expectedWait(ticket, now);
        if (now + wait > ticket.patientUntil()) {
            return new Decision.Refused(ticket, Math.max(LEAST_RETURN_MILLIS, wait), line.size(), board.places(now));
        }
        line.add(ticket);
        return new Decision.Waits(ticket, wait);
    }

    /**
     * Hands out places that have become free, and refuses those whose patience has ended.
     *
     * @param now the clock in milliseconds.
     * @return what was decided, in order; each grant is in progress from now on.
     */
    public List<Decision> advance(long now) {
        List<Decision> decisions = new ArrayList<>();
        for (Ticket expired : line.expire(now)) {
            long wait = line.expectedWait(expired, now);
            decisions.add(
                    new Decision.Refused(expired, Math.max(LEAST_RETURN_MILLIS, wait), line.size(), board.places(now)));
        }
        int failed = 0;
        for (Ticket ticket : line.inOrder()) {
            Optional<UpstreamLoad> free = place(ticket, now);
            if (free.isPresent()) {
                line.remove(ticket);
                decisions.add(granted(ticket, free.get(), now));
            } else if (++failed == LONGEST_SCAN) {
                break;
            }
        }
        return decisions;
    }

    /**
     * Gives a place back.
     *
     * @param upstream where the request was.
     * @param ticket the request.
     * @param now the clock in milliseconds.
     */
    public void release(UpstreamLoad upstream, Ticket ticket, long now) {
        upstream.ended(ticket);
        line.released(now);
    }

    /**
     * Notes that a request was answered whole, by which the time is learnt that requests like it hold a place.
     *
     * @param ticket the request.
     * @param millis how long it has held its place.
     */
    public void answered(Ticket ticket, long millis) {
        values.held(ticket.work().tier(), millis);
    }

    /**
     * Takes a request out of the line.
     *
     * @param ticket the request.
     * @return whether it was waiting.
     */
    public boolean withdraw(Ticket ticket) {
        return line.remove(ticket);
    }

    private Optional<UpstreamLoad> place(Ticket ticket, long now) {
        // Guards against a burst whose refused callers come back into it: an answer on time is worth several late
        // ones, and each place that a late one takes makes another caller late.
        return board.choose(ticket, RESERVED_PER_TIER * values.stepsBehindBest(ticket), now);
    }

    private static Decision granted(Ticket ticket, UpstreamLoad upstream, long now) {
        upstream.began(ticket, ticket.unreadTokens(), now);
        return new Decision.Granted(ticket, upstream);
    }

    /**
     * Says what becomes of a request.
     */
    public sealed interface Decision {
        /**
         * Returns the request.
         *
         * @return the ticket.
         */
        Ticket ticket();

        /**
         * Says that the request has a place.
         *
         * @param ticket the request.
         * @param upstream where to send it.
         */
        record Granted(Ticket ticket, UpstreamLoad upstream) implements Decision {}

        /**
         * Says that the request waits.
         *
         * @param ticket the request.
         * @param expectedMillis how long it is likely to wait.
         */
        record Waits(Ticket ticket, long expectedMillis) implements Decision {}

        /**
         * Says that the request is not going to run.
         *
         * @param ticket the request.
         * @param returnMillis after which time a place is likely to be free.
         * @param waiting how many requests wait.
         * @param places how many places the pool has.
         */
        record Refused(Ticket ticket, long returnMillis, int waiting, int places) implements Decision {}
    }
}
