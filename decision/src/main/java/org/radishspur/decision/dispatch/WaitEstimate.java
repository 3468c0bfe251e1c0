package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

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

    private final Deque<Release> present = new ArrayDeque<>();
    private final Deque<Release> usual = new ArrayDeque<>();
    private final MinimumReleaseRate minReleaseRate;

    /** Creates an estimate without releases, with the minimum release rate that is assumed. */
    WaitEstimate(MinimumReleaseRate minReleaseRate) {
        this.minReleaseRate = minReleaseRate;
    }

    /** Records that a slot of an upstream was released. */
    void recordRelease(Upstream upstream, long now) {
        Release release = new Release(upstream, now);
        present.addLast(release);
        usual.addLast(release);
        removeOld(now);
    }

    /**
     * Returns the expected wait of a request in milliseconds.
     *
     * @param queued the request.
     * @param ahead the number of requests ahead of it that take slots which it may take.
     * @param now the current time in milliseconds.
     */
    long millis(QueuedRequest queued, double ahead, long now) {
        removeOld(now);
        double rate = Math.max(
                perSecond(present, queued, PRESENT_WINDOW_MILLIS), perSecond(usual, queued, USUAL_WINDOW_MILLIS));
        return (long) ((ahead + 1) * 1_000 / Math.max(minReleaseRate.perSecond(queued, now), rate));
    }

    /**
     * Returns which share of the slots that a request ahead may take is of use to another request; the request ahead
     * probably takes one of these with this probability.
     */
    double shareOfSlots(QueuedRequest queued, QueuedRequest ahead, long now) {
        if (queued.terms().allowedDomains().isEmpty()) {
            return 1;
        }
        removeOld(now);
        long usable =
                usual.stream().filter(release -> release.isUsableBy(ahead)).count();
        long shared = usual.stream()
                .filter(release -> release.isUsableBy(ahead) && release.isUsableBy(queued))
                .count();
        return usable == 0 ? 1 : (double) shared / usable;
    }

    private static double perSecond(Deque<Release> releases, QueuedRequest queued, long windowMillis) {
        long usable = queued.terms().allowedDomains().isEmpty()
                ? releases.size()
                : releases.stream()
                        .filter(release -> release.isUsableBy(queued))
                        .count();
        return usable * 1_000.0 / windowMillis;
    }

    private void removeOld(long now) {
        removeUntil(present, now - PRESENT_WINDOW_MILLIS);
        removeUntil(usual, now - USUAL_WINDOW_MILLIS);
    }

    private static void removeUntil(Deque<Release> releases, long until) {
        while (!releases.isEmpty() && releases.peekFirst().at() <= until) {
            releases.removeFirst();
        }
    }

    private record Release(Upstream upstream, long at) {
        boolean isUsableBy(QueuedRequest queued) {
            return queued.terms().allowsDomain(upstream.failureDomain());
        }
    }
}
