package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.radishspur.model.catalogue.Upstream;

/**
 * Estimates how long a request waits for a slot, from the requests ahead of it, those that are likely to come and go ahead
 * of it, and the slots released lately that it might have taken.
 *
 * <p>The estimate takes the present or the usual release rate, whichever is higher. While upstreams stall, no slot is
 * released. By the present rate alone, requests that can be served right after the stall would be refused.
 */
final class WaitEstimate {
    /** Period over which released slots are counted to estimate the present release rate, in milliseconds. */
    private static final long PRESENT_WINDOW_MILLIS = 1_000;

    /**
     * Period over which slots and arrivals are counted to estimate the usual rates, in milliseconds; longer than most
     * stalls and short bursts.
     */
    private static final long USUAL_WINDOW_MILLIS = 5_000;

    /** The wait where no room is expected, in milliseconds; longer than any caller waits. */
    static final long NEVER = Long.MAX_VALUE / 4;

    private final Releases present = new Releases(PRESENT_WINDOW_MILLIS);
    private final Releases usual = new Releases(USUAL_WINDOW_MILLIS);
    private final Map<RequestClass, Deque<Long>> arrivals = new HashMap<>();
    private final ReleaseRate assumedRate;
    private long noneWaitingAt = Long.MIN_VALUE / 2;

    /** Creates an estimate without releases, with the release rates that are assumed. */
    WaitEstimate(ReleaseRate assumedRate) {
        this.assumedRate = assumedRate;
    }

    /** Records that a slot of an upstream was released. */
    void recordRelease(Upstream upstream, long now) {
        present.add(upstream.failureDomain(), now);
        usual.add(upstream.failureDomain(), now);
    }

    /** Records that a request has arrived, whether or not it has to wait. */
    void recordArrival(QueuedRequest queued, long now) {
        RequestClass arrived = RequestClass.of(queued);
        Deque<Long> latest = arrivals.computeIfAbsent(arrived, key -> new ArrayDeque<>());
        latest.addLast(now);
        removeOld(latest, now);
    }

    /**
     * Returns the expected wait of a request in milliseconds, or {@link #NEVER} where all slots that become free are likely
     * to be taken by requests that go ahead of it.
     *
     * @param queued the request.
     * @param ahead the number of requests ahead of it that take slots which it may take.
     * @param overtakingPerSecond how many requests a second come and go ahead of it.
     * @param now the current time in milliseconds.
     */
    long millis(QueuedRequest queued, double ahead, double overtakingPerSecond, long now) {
        double left = possibleReleasesPerSecond(queued, now) - overtakingPerSecond;
        return left <= 0
                ? NEVER
                : (long) Math.min(NEVER, (ahead + 1) * 1_000 / Math.min(releasesPerSecond(queued, now), left));
    }

    /**
     * Returns the standard deviation of an expected wait in milliseconds, where slots are released at random at the same
     * rate.
     *
     * @param queued the request.
     * @param ahead the number of requests ahead of it that take slots which it may take.
     * @param now the current time in milliseconds.
     */
    long deviationMillis(QueuedRequest queued, double ahead, long now) {
        return (long) (Math.sqrt(ahead + 1) * 1_000 / releasesPerSecond(queued, now));
    }

    /** Returns how many slots a second are released that a request may take. */
    double releasesPerSecond(QueuedRequest queued, long now) {
        Predicate<String> allowed = queued.terms()::allowsDomain;
        double rate = Math.max(present.perSecond(allowed, now), usual.perSecond(allowed, now));
        return Math.max(minReleasesPerSecond(queued, now), rate);
    }

    /**
     * Returns how many slots a second can be released that a request may take. Where not all slots were taken lately, or
     * upstreams stall, fewer are released.
     */
    double possibleReleasesPerSecond(QueuedRequest queued, long now) {
        return Math.max(releasesPerSecond(queued, now), assumedRate.capacityPerSecond(queued, now));
    }

    /**
     * Returns how many requests a second usually arrive that are served before a request that is late, and take slots which
     * it may take: those of more urgent ranks and tiers, and others of its own.
     *
     * @param queued the request, whose own arrival is recorded.
     * @param now the current time in milliseconds.
     */
    double overtakingPerSecond(QueuedRequest queued, long now) {
        RequestClass own = RequestClass.of(queued);
        int count = 0;
        for (Map.Entry<RequestClass, Deque<Long>> each : arrivals.entrySet()) {
            removeOld(each.getValue(), now);
            boolean overtakes = each.getKey().equals(own) || each.getKey().isServedBefore(own);
            count += overtakes ? each.getValue().size() : 0;
        }
        return Math.max(0, count - 1) * 1_000.0 / USUAL_WINDOW_MILLIS * shareOfReleases(queued, now);
    }

    /** Returns which share of all released slots a request may take. */
    private double shareOfReleases(QueuedRequest queued, long now) {
        if (queued.terms().allowedDomains().isEmpty()) {
            return 1;
        }
        double all = usual.perSecond(domain -> true, now);
        return all == 0 ? 1 : usual.perSecond(queued.terms()::allowsDomain, now) / all;
    }

    private static void removeOld(Deque<Long> latest, long now) {
        while (!latest.isEmpty() && latest.peekFirst() <= now - USUAL_WINDOW_MILLIS) {
            latest.removeFirst();
        }
    }

    /** Records that no request waited when one arrived. */
    void recordNoneWaiting(long now) {
        noneWaitingAt = now;
    }

    /**
     * Returns the minimum release rate to assume, in slots per second. For a stream it is the rate of the last second plus the
     * assumed rate, which is reduced linearly to 0 over the second after the last arrival that found the queue empty; it is at
     * most the assumed rate. Until then there was no overload, so that few releases don't show how many there can be: at the
     * start of a burst the queue is empty though all slots are taken.
     *
     * <p>All releases of that second are counted, also those from before that arrival. A request that waits for other slots
     * counts as waiting too.
     */
    private double minReleasesPerSecond(QueuedRequest queued, long now) {
        double assumed = assumedRate.minPerSecond(queued, now);
        if (queued.isPlainCall()) {
            return assumed;
        }
        double shareSinceEmpty = Math.min(1, (double) (now - noneWaitingAt) / PRESENT_WINDOW_MILLIS);
        double expected = present.perSecond(queued.terms()::allowsDomain, now) + assumed * (1 - shareSinceEmpty);
        return Math.max(ReleaseRate.DEFAULT.minPerSecond(queued, now), Math.min(assumed, expected));
    }

    /**
     * Returns which share of the slots that a request ahead may take is of use to another request; the request ahead
     * probably takes one of these with this probability.
     */
    double shareOfSlots(QueuedRequest queued, QueuedRequest ahead, long now) {
        if (queued.terms().allowedDomains().isEmpty()) {
            return 1;
        }
        Predicate<String> allowedAhead = ahead.terms()::allowsDomain;
        double usable = usual.perSecond(allowedAhead, now);
        return usable == 0 ? 1 : usual.perSecond(allowedAhead.and(queued.terms()::allowsDomain), now) / usable;
    }

    /**
     * Counts the slots released within a period by the failure domains of their upstreams. Versions aren't told apart.
     */
    private static final class Releases {
        private final long windowMillis;
        private final Deque<Release> latest = new ArrayDeque<>();
        private final Map<String, Integer> countByDomain = new HashMap<>();

        Releases(long windowMillis) {
            this.windowMillis = windowMillis;
        }

        void add(String failureDomain, long now) {
            latest.addLast(new Release(failureDomain, now));
            countByDomain.merge(failureDomain, 1, Integer::sum);
            removeOld(now);
        }

        double perSecond(Predicate<String> allowedDomains, long now) {
            removeOld(now);
            int count = 0;
            for (Map.Entry<String, Integer> each : countByDomain.entrySet()) {
                count += allowedDomains.test(each.getKey()) ? each.getValue() : 0;
            }
            return count * 1_000.0 / windowMillis;
        }

        private void removeOld(long now) {
            while (!latest.isEmpty() && latest.peekFirst().at() <= now - windowMillis) {
                countByDomain.merge(latest.removeFirst().failureDomain(), -1, Integer::sum);
            }
        }
    }

    private record Release(String failureDomain, long at) {}

    /** The rank of an organisation and the tier of a route, by which requests are served. */
    private record RequestClass(int rank, int tier) {
        static RequestClass of(QueuedRequest queued) {
            return new RequestClass(queued.rank(), queued.tier());
        }

        boolean isServedBefore(RequestClass other) {
            return rank < other.rank || rank == other.rank && tier < other.tier;
        }
    }
}
