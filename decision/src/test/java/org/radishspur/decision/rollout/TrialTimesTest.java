package org.radishspur.decision.rollout;

import java.util.Random;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.rollout.UpstreamTimes.Evidence;
import org.radishspur.decision.rollout.UpstreamTimes.Measure;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares versions of four upstreams each, with some responses in each window of half a second.
 */
class TrialTimesTest {
    private static final int UPSTREAMS = 4;
    private static final double USUAL_MILLIS = 60;
    private static final double SILENT_MILLIS = 900;

    private final UpstreamTimes sums = new UpstreamTimes();
    private final TrialTimes times = new TrialTimes();
    private final Random random = new Random(73);

    private void addWindow(double otherMillis, double trialMillis) {
        for (int number = 0; number < UPSTREAMS; number++) {
            for (int repeat = 0; repeat < 3; repeat++) {
                add(number, false, otherMillis);
            }
            add(UPSTREAMS + number, true, trialMillis);
        }
        times.update(sums.since(new UpstreamTimes()), true);
    }

    private void add(int upstream, boolean trial, double millis) {
        sums.add(upstream, trial, Measure.FIRST_BYTE, millis * Math.exp(0.2 * random.nextGaussian()));
    }

    /** Guards against a good version that is found slow by its first responses, given beside a silence of all. */
    @Test
    void ignoresTheResponsesOfASilenceOfAll() {
        addWindow(USUAL_MILLIS, USUAL_MILLIS);
        for (int window = 0; window < 3; window++) {
            addWindow(SILENT_MILLIS, SILENT_MILLIS);
        }
        assertThat(times.slowness()).isNotEqualTo(Evidence.PROVEN);
        for (int window = 0; window < 3; window++) {
            addWindow(USUAL_MILLIS, USUAL_MILLIS);
        }
        assertThat(times.slowness()).isEqualTo(Evidence.NONE);
    }

    /** Guards against a slow version that hides behind the silence of all. */
    @Test
    void findsASlowVersionBesideASilenceOfAll() {
        addWindow(USUAL_MILLIS, 4 * USUAL_MILLIS);
        addWindow(SILENT_MILLIS, SILENT_MILLIS);
        addWindow(USUAL_MILLIS, 4 * USUAL_MILLIS);
        addWindow(USUAL_MILLIS, 4 * USUAL_MILLIS);
        assertThat(times.slowness()).isEqualTo(Evidence.PROVEN);
    }

    /** Guards against a slow version that counts as sound because the others became as slow at its start. */
    @Test
    void suspectsASlowVersionWhileTheOthersAreSlowToo() {
        for (int number = 0; number < 3 * UPSTREAMS; number++) {
            add(number % UPSTREAMS, false, USUAL_MILLIS);
        }
        times.update(sums.since(new UpstreamTimes()), true);
        for (int window = 0; window < 6; window++) {
            addWindow(4 * USUAL_MILLIS, 4 * USUAL_MILLIS);
        }
        assertThat(times.slowness()).isEqualTo(Evidence.SUSPECTED);
    }

    @Test
    void findsNothingInAVersionAsFastAsTheOthers() {
        for (int window = 0; window < 6; window++) {
            addWindow(USUAL_MILLIS, USUAL_MILLIS);
        }
        assertThat(times.slowness()).isEqualTo(Evidence.NONE);
    }
}
