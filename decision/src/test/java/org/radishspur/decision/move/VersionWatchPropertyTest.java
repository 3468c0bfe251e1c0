package org.radishspur.decision.move;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

class VersionWatchPropertyTest {
    private static final int CONTROLS = 500;
    private static final double SPREAD = 0.3;
    private static final int USUAL_MILLIS = 20;
    private static final long RUN_MILLIS = 60_000;
    private static final long SECOND = 1_000;

    private final VersionWatch watch = new VersionWatch();

    /** Shows the watch a minute of answers, and returns the first fault that it found. */
    private TakeBackReason watchAnswers(int answersPerSecond, long seed, Host host) {
        Random random = new Random(seed);
        for (int control = 0; control < CONTROLS; control++) {
            watch.observeOld(false, random.nextGaussian() * SPREAD);
        }
        for (int answer = 0; answer < answersPerSecond * RUN_MILLIS / SECOND; answer++) {
            long sentAt = answer * SECOND / answersPerSecond;
            double logSlowness = host.logSlowness(sentAt) + random.nextGaussian() * SPREAD;
            watch.observeNew(false, logSlowness, answer, host.endsAt(sentAt));
            if (watch.verdict() != TakeBackReason.NONE) {
                return watch.verdict();
            }
        }
        return TakeBackReason.NONE;
    }

    /** Guards against a good version taken back for one stall of its host, of whatever length up to five seconds. */
    @Property(tries = 300, seed = "35")
    void oneStallProvesNothing(
            @ForAll @IntRange(min = 1, max = 200) int answersPerSecond,
            @ForAll @LongRange(min = 0, max = 50_000) long stallAt,
            @ForAll @LongRange(min = 0, max = 5_000) long stallMillis,
            @ForAll long seed) {
        Host stalled = new Host() {
            @Override
            public double logSlowness(long sentAt) {
                return Math.log(1 + (endsAt(sentAt) - sentAt) / (double) USUAL_MILLIS);
            }

            @Override
            public long endsAt(long sentAt) {
                return sentAt >= stallAt ? Math.max(sentAt, stallAt + stallMillis) : sentAt;
            }
        };
        assertThat(watchAnswers(answersPerSecond, seed, stalled)).isEqualTo(TakeBackReason.NONE);
    }

    /** Guards against a slow host that answers late all through a stall, so that the stall has many moments. */
    @Property(tries = 300, seed = "36")
    void fiveSecondsOfStarvationProveNothing(
            @ForAll @IntRange(min = 1, max = 200) int answersPerSecond,
            @ForAll @LongRange(min = 0, max = 50_000) long starvedAt,
            @ForAll long seed) {
        Host starved = sentAt -> sentAt >= starvedAt && sentAt < starvedAt + 5 * SECOND ? Math.log(5) : 0;
        assertThat(watchAnswers(answersPerSecond, seed, starved)).isEqualTo(TakeBackReason.NONE);
    }

    /** Guards against a bound on one moment that lets a version which stays slow go on. */
    @Property(tries = 100, seed = "37")
    void aVersionThatStaysTwiceAsSlowIsFoundWithinAMinute(
            @ForAll @IntRange(min = 2, max = 200) int answersPerSecond, @ForAll long seed) {
        assertThat(watchAnswers(answersPerSecond, seed, sentAt -> Math.log(2))).isEqualTo(TakeBackReason.SLOWER);
    }

    /**
     * Says how a host that is in trouble answers.
     */
    private interface Host {
        double logSlowness(long sentAt);

        default long endsAt(long sentAt) {
            return sentAt;
        }
    }
}
