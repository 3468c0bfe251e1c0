package org.radishspur.decision.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Chooses when the refused callers of one pool at one scheduler should return, and books the room that is likely to be
 * free then.
 *
 * <p>Room is what the released slots exceed the present demand of new requests by. When a burst will end isn't known, so
 * that callers refused in one return as late as they may. Each scheduler books room in its own releases for its own
 * refusals. A caller may return to another scheduler, but the returns spread over schedulers as the refusals did, so that
 * a return that comes at a booked time takes a booking of its kind, whoever it was made for.
 */
public final class ReturnSchedule {
    private static final long PERIOD_MILLIS = 100;

    /** Number of periods ahead in which room is booked; it bounds memory and the search. */
    private static final int MAX_PERIODS_AHEAD = 100;

    /** Number of periods by which a return may miss its booked one, such as by the way to the caller and back. */
    private static final int TOLERATED_PERIODS = 3;

    /** Minimum rate of releases at which room is estimated; fewer tell too little about the next few seconds. */
    private static final double MIN_RELEASES_PER_SECOND = 20;

    /** Time over which the present demand is taken, in milliseconds; it shows the end of a burst soon. */
    private static final long PRESENT_MILLIS = 500;

    /** Time over which the present rate of releases is taken, in milliseconds. */
    private static final long RELEASES_MILLIS = 1_000;

    /** Time over which the usual one is taken, in milliseconds; longer than most stalls. */
    private static final long USUAL_RELEASES_MILLIS = 5_000;

    /** Share of the releases that counts, as both rates are estimates, and some slots are left free for others. */
    private static final double USABLE_SHARE = 0.8;

    private final RecentRate demand = new RecentRate();
    private final RecentRate releases = new RecentRate();
    private final TreeMap<Long, Map<Kind, Integer>> bookings = new TreeMap<>();
    private final Map<Kind, Long> latestReturns = new HashMap<>();
    private long booked;
    private long returned;
    private long refusedAgain;

    /** Creates a schedule that knows no load and has booked nothing. */
    ReturnSchedule() {}

    /** Records the arrival of a request; a return takes the room that is booked for its kind about now, if any. */
    void recordArrival(QueuedRequest queued, long now) {
        if (!queued.isReturn()) {
            demand.add(now);
        } else if (takeBooking(Kind.of(queued), now)) {
            returned++;
            queued.setBooked();
        }
    }

    /** Records that a slot was released. */
    void recordRelease(long now) {
        releases.add(now);
    }

    /**
     * Books room for the return of a refused caller.
     *
     * <p>Callers of one tier and rank return in the order in which they were refused, unless one has too little time
     * left for that. Room that is booked for less urgent ones counts as free. Where no room is likely to be free while the
     * caller accepts to wait, it returns as late as it may.
     *
     * @param refused the request of the caller.
     * @param earliestMillis after how many milliseconds a slot is free for it at the earliest.
     * @param now the current time in milliseconds.
     * @return after how many milliseconds the caller should return, or empty where that can't be estimated.
     */
    OptionalLong book(QueuedRequest refused, long earliestMillis, long now) {
        if (refused.isReturn()) {
            refusedAgain++;
            return OptionalLong.empty();
        }
        double capacity =
                Math.max(releases.perSecond(RELEASES_MILLIS, now), releases.perSecond(USUAL_RELEASES_MILLIS, now));
        long left = refused.requirements().endsAt() - now;
        long latest = now + RetryAfterPolicy.INSTANCE.maxRetryAfterMillis(left);
        long earliest = now + earliestMillis;
        if (capacity < MIN_RELEASES_PER_SECOND || earliest > latest) {
            return OptionalLong.empty();
        }
        removeExpired(now);
        Kind kind = Kind.of(refused);
        double freePerPeriod =
                (capacity * USABLE_SHARE - demand.perSecond(PRESENT_MILLIS, now)) * PERIOD_MILLIS / 1_000;
        long inOrder = Math.max(earliest, latestReturns.getOrDefault(kind, earliest));
        long returnAt =
                findUsefulRoom(refused, freePerPeriod, inOrder, latest, now).orElse(latest);
        latestReturns.merge(kind, returnAt, Math::max);
        addBooking(kind, returnAt, now);
        return OptionalLong.of(returnAt - now);
    }

    /**
     * Finds room before the target of a request, or else so late that entries recognise the return. A return between the
     * two is late, but would be served like a new request and make another one late.
     */
    private OptionalLong findUsefulRoom(
            QueuedRequest refused, double freePerPeriod, long earliest, long latest, long now) {
        Kind kind = Kind.of(refused);
        long lastOnTime = Math.min(latest, refused.requirements().targetAt() - PERIOD_MILLIS);
        OptionalLong onTime = findRoom(kind, freePerPeriod, earliest, lastOnTime);
        long recognised = now
                + RetryAfterPolicy.INSTANCE.recognisedAfterMillis(
                        refused.requirements().endsAt() - now);
        return onTime.isPresent() ? onTime : findRoom(kind, freePerPeriod, Math.max(earliest, recognised), latest);
    }

    /** Finds the earliest room for a kind of request, and returns its time. */
    private OptionalLong findRoom(Kind kind, double freePerPeriod, long earliest, long latest) {
        long end = Math.min(periodOf(latest), periodOf(earliest) + MAX_PERIODS_AHEAD);
        for (long period = periodOf(earliest); period <= end; period++) {
            double room = wholeRoom(freePerPeriod, period);
            int taken = bookedFor(period, kind);
            if (taken + 1 <= room) {
                long at = (long) ((period + taken / room) * PERIOD_MILLIS);
                return OptionalLong.of(Math.max(earliest, at));
            }
        }
        return OptionalLong.empty();
    }

    private void addBooking(Kind kind, long returnAt, long now) {
        if (periodOf(returnAt) <= periodOf(now) + MAX_PERIODS_AHEAD) {
            bookings.computeIfAbsent(periodOf(returnAt), key -> new HashMap<>()).merge(kind, 1, Integer::sum);
            booked++;
        }
    }

    /** Returns the whole part of the room in one period; what is left of it counts in later ones. */
    private static double wholeRoom(double room, long period) {
        return Math.floor((period + 1) * room) - Math.floor(period * room);
    }

    /** Returns how many returns that are at least as urgent are booked in a period. */
    private int bookedFor(long period, Kind kind) {
        return bookings.getOrDefault(period, Map.of()).entrySet().stream()
                .filter(each -> each.getKey().compareTo(kind) <= 0)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Takes a booking of a kind about now, or of a less urgent one. */
    private boolean takeBooking(Kind kind, long now) {
        removeExpired(now);
        for (Map<Kind, Integer> period :
                bookings.headMap(periodOf(now) + TOLERATED_PERIODS, true).values()) {
            Optional<Kind> taken = period.keySet().stream()
                    .filter(each -> each.compareTo(kind) >= 0)
                    .min(Comparator.naturalOrder());
            if (taken.isPresent()) {
                period.computeIfPresent(taken.get(), (key, count) -> count > 1 ? count - 1 : null);
                return true;
            }
        }
        return false;
    }

    private void removeExpired(long now) {
        bookings.headMap(periodOf(now) - TOLERATED_PERIODS).clear();
    }

    private static long periodOf(long millis) {
        return Math.floorDiv(millis, PERIOD_MILLIS);
    }

    /**
     * Returns how many returns were booked.
     *
     * @return the number since the start.
     */
    public long booked() {
        return booked;
    }

    /**
     * Returns how many callers returned at a booked time.
     *
     * @return the number since the start.
     */
    public long returned() {
        return returned;
    }

    /**
     * Returns how many callers were refused again on their return.
     *
     * @return the number since the start.
     */
    public long refusedAgain() {
        return refusedAgain;
    }

    /**
     * Identifies the requests among which the order of refusals is kept; the most urgent kind comes first.
     *
     * @param rank the rank of the organisation.
     * @param tier the tier of the route.
     */
    private record Kind(int rank, int tier) implements Comparable<Kind> {
        private static final Comparator<Kind> BY_URGENCY =
                Comparator.comparingInt(Kind::rank).thenComparingInt(Kind::tier);

        static Kind of(QueuedRequest queued) {
            return new Kind(queued.rank(), queued.requirements().tier());
        }

        @Override
        public int compareTo(Kind other) {
            return BY_URGENCY.compare(this, other);
        }
    }
}
