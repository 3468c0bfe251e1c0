package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.radishspur.model.catalogue.Upstream;

/**
 * Estimates how long a request waits for a slot, from the requests ahead of it and the slots released lately that it might
 * have taken.
 *
 * <p>The estimate takes the present or the usual release rate, whichever is higher. While upstreams stall, no slot is
 * released. By the present rate alone, requests that can be served right after the stall would be refused.
 */
final class WaitEstimate {
    /** Period over which released slots are counted to estimate the present release rate, in milliseconds. */
    private static final long PRESENT_WINDOW_MILLIS = 1_000;

    /** Period over which they are counted to estimate the usual rate, in milliseconds; longer than most stalls. */
    private static final long USUAL_WINDOW_MILLIS = 5_000;

    private final Releases present = new Releases(PRESENT_WINDOW_MILLIS);
    private final Releases usual = new Releases(USUAL_WINDOW_MILLIS);
    private final MinimumReleaseRate minReleaseRate;
    private long noneWaitingAt = Long.MIN_VALUE / 2;

    /** Creates an estimate without releases, with the minimum release rate that is assumed. */
    WaitEstimate(MinimumReleaseRate minReleaseRate) {
        this.minReleaseRate = minReleaseRate;
    }

    /** Records that a slot of an upstream was released. */
    void recordRelease(Upstream upstream, long now) {
        present.add(upstream.failureDomain(), now);
        usual.add(upstream.failureDomain(), now);
    }

    /**
     * Returns the expected wait of a request in milliseconds.
     *
     * @param queued the request.
     * @param ahead the number of requests ahead of it that take slots which it may take.
     * @param now the current time in milliseconds.
     */
    long millis(QueuedRequest queued, double ahead, long now) {
        Predicate<String> allowed = queued.terms()::allowsDomain;
        double rate = Math.max(present.perSecond(allowed, now), usual.perSecond(allowed, now));
        return (long) ((ahead + 1) * 1_000 / Math.max(minReleasesPerSecond(queued, now), rate));
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
        double assumed = minReleaseRate.perSecond(queued, now);
        if (queued.isPlainCall()) {
            return assumed;
        }
        double shareSinceEmpty = Math.min(1, (double) (now - noneWaitingAt) / PRESENT_WINDOW_MILLIS);
        double expected = present.perSecond(queued.terms()::allowsDomain, now) + assumed * (1 - shareSinceEmpty);
        return Math.max(MinimumReleaseRate.DEFAULT.perSecond(queued, now), Math.min(assumed, expected));
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
}
