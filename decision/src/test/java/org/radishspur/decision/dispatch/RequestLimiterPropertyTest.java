package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.radishspur.decision.dispatch.RequestLimiter.Turns;
import org.radishspur.model.catalogue.RequestLimit;

import static org.assertj.core.api.Assertions.assertThat;

class RequestLimiterPropertyTest {
    private static final long TICK_MILLIS = 50;
    private static final long PERIOD_MILLIS = 4_000;

    /** The time without a report after which a scheduler counts as silent, in milliseconds. */
    private static final long SILENCE_MILLIS = 900;

    static long worstPeriod(List<Long> sentAt) {
        return sentAt.stream()
                .mapToLong(start -> sentAt.stream()
                        .filter(at -> at >= start && at < start + PERIOD_MILLIS)
                        .count())
                .max()
                .orElse(0);
    }

    static double maxRequests(double requestsPerSecond) {
        return 1.5 * requestsPerSecond * PERIOD_MILLIS / 1_000 + 5;
    }

    /**
     * Guards against a limit that is exceeded because all schedulers take the same request of it before they have
     * each other's reports, and against one that is hardly used: each has requests waiting all the time.
     */
    @Property(tries = 150, seed = "470")
    void keepsTheSumWithinTheLimit(
            @ForAll @IntRange(min = 1, max = 16) int schedulers,
            @ForAll @DoubleRange(min = 0.5, max = 30) double requestsPerSecond,
            @ForAll @LongRange(min = 1, max = 90) long reportDelay,
            @ForAll long seed) {
        List<Long> sentAt = simulate(schedulers, requestsPerSecond, reportDelay, 1, new Random(seed));
        assertThat(worstPeriod(sentAt)).isLessThanOrEqualTo((long) maxRequests(requestsPerSecond));
        assertThat(sentAt.size()).isGreaterThan((int) (requestsPerSecond * 40 / 3));
    }

    /** Guards against a limited upstream that gets nothing because the scheduler whose turn it is has no request. */
    @Property(tries = 100, seed = "471")
    void usesTheLimitWhereFewSchedulersHaveRequests(
            @ForAll @IntRange(min = 2, max = 16) int schedulers,
            @ForAll @DoubleRange(min = 0.5, max = 4) double requestsPerSecond,
            @ForAll long seed) {
        List<Long> sentAt = simulate(schedulers, requestsPerSecond, 45, 0.02, new Random(seed));
        assertThat(worstPeriod(sentAt)).isLessThanOrEqualTo((long) maxRequests(requestsPerSecond));
        assertThat(sentAt).hasSizeGreaterThan(8);
    }

    /** Guards against a multiple of the limit, as each side of a cut takes the silence of the other for its end. */
    @Property(tries = 100, seed = "472")
    void keepsTheSumWithinTheLimitWhileSchedulersAreCutOffFromEachOther(
            @ForAll @IntRange(min = 2, max = 16) int schedulers,
            @ForAll @DoubleRange(min = 0.5, max = 30) double requestsPerSecond,
            @ForAll @IntRange(min = 1, max = 8) int cutOff,
            @ForAll long seed) {
        Cut cut = new Cut(Math.min(cutOff, schedulers - 1), 10_000, 22_000);
        List<Long> sentAt = simulate(schedulers, requestsPerSecond, 45, 1, cut, new Random(seed));
        assertThat(worstPeriod(sentAt)).isLessThanOrEqualTo((long) maxRequests(requestsPerSecond));
        assertThat(sentAt.stream().filter(at -> at > 24_000).count()).isGreaterThan((int) (requestsPerSecond * 16 / 3));
    }

    private List<Long> simulate(
            int schedulers, double requestsPerSecond, long reportDelay, double demand, Random random) {
        return simulate(schedulers, requestsPerSecond, reportDelay, demand, new Cut(0, 0, 0), random);
    }

    private List<Long> simulate(
            int schedulers, double requestsPerSecond, long reportDelay, double demand, Cut cut, Random random) {
        List<RequestLimiter> limiters = new ArrayList<>();
        for (int position = 0; position < schedulers; position++) {
            RequestLimiter limiter = new RequestLimiter();
            limiter.setTurns(new Turns(position, schedulers, 1));
            limiter.recordStatement(RequestLimit.ofRate(requestsPerSecond), 0, 0);
            limiters.add(limiter);
        }
        PriorityQueue<Report> reports =
                new PriorityQueue<>((one, other) -> Long.compare(one.arrivesAt(), other.arrivesAt()));
        List<Long> sentAt = new ArrayList<>();
        for (long now = 0; now < 40_000; now++) {
            while (!reports.isEmpty() && reports.peek().arrivesAt() <= now) {
                Report report = reports.remove();
                for (int receiver = 0; receiver < schedulers; receiver++) {
                    if (receiver != report.sender() && !cut.separates(receiver, report.sender(), now)) {
                        limiters.get(receiver).recordPeerSent("p" + report.sender(), report.total(), now);
                    }
                }
            }
            for (int scheduler = 0; scheduler < schedulers; scheduler++) {
                boolean due = (now + scheduler * 7L) % TICK_MILLIS == 0 && random.nextDouble() < demand;
                RequestLimiter limiter = limiters.get(scheduler);
                if (now == cut.from() + SILENCE_MILLIS && now < cut.to()) {
                    limiter.setReportingShare(cut.sideOf(scheduler, schedulers) / (double) schedulers, now);
                    cut.separated(scheduler, schedulers).forEach(peer -> limiter.forgetPeer("p" + peer));
                } else if (now == cut.to()) {
                    limiter.setReportingShare(1, now);
                }
                if (due && limiter.allows(now)) {
                    limiter.recordSent(now);
                    sentAt.add(now);
                }
                if (now % 40 == 0) {
                    reports.add(new Report(scheduler, limiter.ownSent(), now + reportDelay));
                }
            }
        }
        return sentAt;
    }

    /** Holds when the first schedulers are cut off from the others. */
    private record Cut(int count, long from, long to) {
        boolean separates(int one, int other, long now) {
            return now >= from && now < to && (one < count) != (other < count);
        }

        int sideOf(int scheduler, int schedulers) {
            return scheduler < count ? count : schedulers - count;
        }

        IntStream separated(int scheduler, int schedulers) {
            return IntStream.range(0, schedulers).filter(other -> (scheduler < count) != (other < count));
        }
    }

    private record Report(int sender, long total, long arrivesAt) {}
}
