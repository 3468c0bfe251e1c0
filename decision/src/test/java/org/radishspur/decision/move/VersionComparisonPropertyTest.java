package org.radishspur.decision.move;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

class VersionComparisonPropertyTest {
    private static final int OLD_ANSWERS = 500;
    private static final double LOG_DEVIATION = 0.3;
    private static final int USUAL_MILLIS = 20;
    private static final long OBSERVATION_MILLIS = 60_000;
    private static final long SECOND_MILLIS = 1_000;

    private final VersionComparison comparison = new VersionComparison();

    /** Records a minute of answers, and returns the first detected fault. */
    private RollbackReason firstDetectedFault(int answersPerSecond, long seed, Host host) {
        Random random = new Random(seed);
        for (int oldAnswer = 0; oldAnswer < OLD_ANSWERS; oldAnswer++) {
            comparison.observeOld(false, random.nextGaussian() * LOG_DEVIATION);
        }
        for (int answer = 0; answer < answersPerSecond * OBSERVATION_MILLIS / SECOND_MILLIS; answer++) {
            long sentAt = answer * SECOND_MILLIS / answersPerSecond;
            double logSlowness = host.logSlowness(sentAt) + random.nextGaussian() * LOG_DEVIATION;
            comparison.observeNew(false, logSlowness, answer, host.answeredAt(sentAt));
            if (comparison.detectedFault() != RollbackReason.NONE) {
                return comparison.detectedFault();
            }
        }
        return RollbackReason.NONE;
    }

    /**
     * Guards against a good version that is rolled back for one stall of its host, of any length up to five seconds.
     */
    @Property(tries = 300, seed = "35")
    void oneStallOfTheHostIsNoFaultOfTheVersion(
            @ForAll @IntRange(min = 1, max = 200) int answersPerSecond,
            @ForAll @LongRange(min = 0, max = 50_000) long stalledFrom,
            @ForAll @LongRange(min = 0, max = 5_000) long stallMillis,
            @ForAll long seed) {
        Host stalled = new Host() {
            @Override
            public double logSlowness(long sentAt) {
                return Math.log(1 + (answeredAt(sentAt) - sentAt) / (double) USUAL_MILLIS);
            }

            @Override
            public long answeredAt(long sentAt) {
                return sentAt >= stalledFrom ? Math.max(sentAt, stalledFrom + stallMillis) : sentAt;
            }
        };
        assertThat(firstDetectedFault(answersPerSecond, seed, stalled)).isEqualTo(RollbackReason.NONE);
    }

    /** Guards against a good version that is rolled back because its host is slow for five evidence periods. */
    @Property(tries = 300, seed = "36")
    void fiveSecondsOfCpuStarvationAreNoFaultOfTheVersion(
            @ForAll @IntRange(min = 1, max = 200) int answersPerSecond,
            @ForAll @LongRange(min = 0, max = 50_000) long starvedFrom,
            @ForAll long seed) {
        Host starved = sentAt -> sentAt >= starvedFrom && sentAt < starvedFrom + 5 * SECOND_MILLIS ? Math.log(5) : 0;
        assertThat(firstDetectedFault(answersPerSecond, seed, starved)).isEqualTo(RollbackReason.NONE);
    }

    /** Guards against a limit of evidence per period that keeps a slow version from being detected. */
    @Property(tries = 100, seed = "37")
    void aVersionThatStaysTwiceAsSlowIsDetectedWithinAMinute(
            @ForAll @IntRange(min = 2, max = 200) int answersPerSecond, @ForAll long seed) {
        assertThat(firstDetectedFault(answersPerSecond, seed, sentAt -> Math.log(2)))
                .isEqualTo(RollbackReason.SLOWER);
    }

    /**
     * Describes how a faulty host delays the answers of its upstreams.
     */
    private interface Host {
        double logSlowness(long sentAt);

        default long answeredAt(long sentAt) {
            return sentAt;
        }
    }
}
