package org.radishspur.decision.rollout;

import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.rollout.UpstreamTimes.Evidence;
import org.radishspur.decision.rollout.UpstreamTimes.Measure;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares versions whose upstreams are of unlike kinds, over many draws of which kinds each version has.
 */
class UpstreamTimesTest {
    private static final int DRAWS = 400;
    private static final int OLD_UPSTREAMS = 8;
    private static final int NEW_UPSTREAMS = 8;
    private static final int OLD_RESPONSES = 200;

    /** The number of responses that a version under trial gives in 10 s of a small deployment. */
    private static final int NEW_RESPONSES = 40;

    /** One upstream in three is slower than the others by this factor. */
    private static final double SLOW_KIND = 4.4;

    private static final double EVENT_MILLIS = 14;
    private static final double PLAIN_MILLIS = 60;

    /** The standard deviation of the logarithm of the time of plain calls. */
    private static final double PLAIN_DEVIATION = 0.5;

    /** The number of responses that one upstream under trial gives in 10 s at 20 requests a second. */
    private static final int FEW_RESPONSES = 14;

    private static double kind(Random random) {
        return random.nextInt(3) == 0 ? SLOW_KIND : 1;
    }

    /** Adds responses in turn of upstreams; a share of them takes longer by a factor. */
    private static void add(
            UpstreamTimes times,
            boolean trial,
            int upstreams,
            int responses,
            double slowShare,
            double factor,
            Random random) {
        double[] kinds = random.doubles(upstreams).map(draw -> kind(random)).toArray();
        for (int number = 0; number < responses; number++) {
            int upstream = number % upstreams;
            double noise = Math.exp(0.2 * random.nextGaussian()) * (random.nextInt(20) == 0 ? 3 : 1);
            double millis = EVENT_MILLIS * kinds[upstream] * noise * (random.nextDouble() < slowShare ? factor : 1);
            times.add(trial ? 1_000 + upstream : upstream, trial, Measure.EVENT, millis);
        }
    }

    /** Returns how often a finding is made, over many draws. */
    private static int count(Evidence evidence, int newUpstreams, int newResponses, double slowShare, double factor) {
        int found = 0;
        for (int draw = 0; draw < DRAWS; draw++) {
            Random random = new Random(draw);
            UpstreamTimes times = new UpstreamTimes();
            add(times, false, OLD_UPSTREAMS, OLD_RESPONSES, 0, 1, random);
            add(times, true, newUpstreams, newResponses, slowShare, factor, random);
            found += times.slowness() == evidence ? 1 : 0;
        }
        return found;
    }

    /** Guards against a slow version that is taken for one whose upstreams are of the slow kind. */
    @Nested
    class SlowVersion {
        @Test
        void isFoundIfAllResponsesAreFourTimesSlower() {
            assertThat(count(Evidence.PROVEN, NEW_UPSTREAMS, NEW_RESPONSES, 1, 4))
                    .isGreaterThan(DRAWS * 4 / 5);
            assertThat(count(Evidence.NONE, NEW_UPSTREAMS, NEW_RESPONSES, 1, 4)).isLessThan(DRAWS * 4 / 100);
        }

        @Test
        void isFoundIfHalfOfTheResponsesAreFourTimesSlower() {
            assertThat(count(Evidence.PROVEN, NEW_UPSTREAMS, NEW_RESPONSES, 0.5, 4))
                    .isGreaterThan(DRAWS * 4 / 5);
            assertThat(count(Evidence.NONE, NEW_UPSTREAMS, NEW_RESPONSES, 0.5, 4))
                    .isLessThanOrEqualTo(DRAWS / 50);
        }
    }

    /** Adds responses of one upstream, which vary as those of plain calls do. */
    private static void addPlain(
            UpstreamTimes times, int upstream, boolean trial, int responses, double millis, long seed) {
        Random random = new Random(seed);
        for (int number = 0; number < responses; number++) {
            times.add(upstream, trial, Measure.FIRST_BYTE, millis * Math.exp(PLAIN_DEVIATION * random.nextGaussian()));
        }
    }

    /** Returns how often a version with one upstream is suspected beside a number of old upstreams of one kind. */
    private static int countSuspectedAlone(int oldUpstreams, double factor) {
        int suspected = 0;
        for (int draw = 0; draw < DRAWS; draw++) {
            UpstreamTimes times = new UpstreamTimes();
            for (int upstream = 0; upstream < oldUpstreams; upstream++) {
                addPlain(times, upstream, false, NEW_RESPONSES, PLAIN_MILLIS, 1_000L * draw + upstream);
            }
            addPlain(times, NEW_UPSTREAMS, true, FEW_RESPONSES, factor * PLAIN_MILLIS, -draw - 1);
            suspected += times.slowness() == Evidence.SUSPECTED ? 1 : 0;
        }
        return suspected;
    }

    /** Guards against a version that is completed because its only upstream is compared with nothing. */
    @Nested
    class OnlyUpstream {
        @Test
        void isSuspectedIfItIsFourTimesSlower() {
            for (int oldUpstreams : new int[] {1, 2, 3}) {
                assertThat(countSuspectedAlone(oldUpstreams, 4))
                        .as("beside " + oldUpstreams)
                        .isGreaterThan(DRAWS * 9 / 10);
            }
        }

        @Test
        void isRarelySuspectedIfItIsAsFast() {
            for (int oldUpstreams : new int[] {1, 2, 3}) {
                assertThat(countSuspectedAlone(oldUpstreams, 1))
                        .as("beside " + oldUpstreams)
                        .isLessThanOrEqualTo(DRAWS * 4 / 100);
            }
        }
    }

    private static void assertRarelySuspected(int upstreams, int responses) {
        String name = upstreams + " upstreams, " + responses + " responses";
        assertThat(count(Evidence.PROVEN, upstreams, responses, 0, 1)).as(name).isLessThanOrEqualTo(DRAWS / 100);
        assertThat(count(Evidence.SUSPECTED, upstreams, responses, 0, 1))
                .as(name)
                .isLessThanOrEqualTo(DRAWS * 4 / 100);
    }

    /** Guards against a good version that is taken back because of the kinds of its upstreams. */
    @Nested
    class GoodVersion {
        @Test
        void isRarelySuspectedWhateverKindsItsUpstreamsAre() {
            for (int upstreams : new int[] {1, 2, 4, NEW_UPSTREAMS}) {
                assertRarelySuspected(upstreams, NEW_RESPONSES);
            }
        }

        @Test
        void isNotSuspectedByItsFirstResponses() {
            for (int responses = 1; responses < NEW_RESPONSES; responses += 3) {
                assertRarelySuspected(NEW_UPSTREAMS, responses);
            }
        }
    }

    @Test
    void addsUpOverProcesses() {
        UpstreamTimes one = new UpstreamTimes();
        one.add(-7, true, Measure.EVENT, 20);
        one.add(-7, true, Measure.EVENT, 20);
        one.add(8, false, Measure.FIRST_BYTE, 0.5);
        UpstreamTimes sum = new UpstreamTimes();
        sum.addAll(one.toArray());
        sum.addAll(one.toArray());
        assertThat(sum.toArray()).hasSize(6).contains(-7, 4, 8, 2);
    }
}
