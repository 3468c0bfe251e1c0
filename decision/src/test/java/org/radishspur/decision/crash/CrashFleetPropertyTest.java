package org.radishspur.decision.crash;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class CrashFleetPropertyTest {
    private static final int MAX_ENDS = 8;
    /** The number of simulated fleets with slow checks, each with a seed of its own. */
    private static final int SLOW_FLEETS = 200;
    /** The maximum time of a check, in milliseconds. */
    private static final int MAX_CHECK_MILLIS = 1_000;

    /** The maximum mean number of ended upstreams. Without refusals during checks almost all eight end. */
    private static final double MAX_MEAN_ENDS = 6;

    private static final int ENDS_BEFORE_WINDOW = 5;
    private static final long WINDOW_MILLIS = 4_000;
    private static final double MAX_REFUSED_SHARE = 0.05;

    private static void assertHeld(CrashFleetSimulation fleet) {
        List<Long> ends = fleet.crashingEnds();
        assertThat(ends).hasSizeBetween(1, MAX_ENDS);
        long from = ends.get(Math.min(ENDS_BEFORE_WINDOW, ends.size()) - 1) + WINDOW_MILLIS;
        assertThat(fleet.crashingRuns()).filteredOn(time -> time > from).isEmpty();
        assertThat(fleet.soundRefusedShare()).isLessThanOrEqualTo(MAX_REFUSED_SHARE);
    }

    /** Guards against a part that ends upstream after upstream, and against sound requests that are refused beside it. */
    @Property(tries = 150, seed = "57")
    void aPartEndsFewUpstreams(
            @ForAll @IntRange(min = 1, max = 12) int entries,
            @ForAll @IntRange(min = 75, max = 700) int crashingMillis,
            @ForAll long seed) {
        CrashFleetSimulation fleet = new CrashFleetSimulation(seed, entries, crashingMillis);
        fleet.run(60, 3_000);
        assertHeld(fleet);
    }

    /** Guards against a part that ends upstream after upstream while it is checked whether the first ones have ended. */
    @Example
    void aPartEndsFewUpstreamsWhileChecksAreSlow() {
        int ends = 0;
        for (int seed = 0; seed < SLOW_FLEETS; seed++) {
            CrashFleetSimulation fleet =
                    new CrashFleetSimulation(seed, 1 + seed % 2, 75 + seed % 125, MAX_CHECK_MILLIS);
            fleet.run(60, 3_000);
            assertHeld(fleet);
            ends += fleet.crashingEnds().size();
        }
        assertThat((double) ends / SLOW_FLEETS).as("mean number of ends").isLessThan(MAX_MEAN_ENDS);
    }

    /** Guards against parts that everybody shares and that stay refused when nothing is known of any part yet. */
    @Property(tries = 150, seed = "58")
    void aPartEndsFewUpstreamsFromTheStartOn(
            @ForAll @IntRange(min = 1, max = 12) int entries,
            @ForAll @IntRange(min = 75, max = 700) int crashingMillis,
            @ForAll long seed) {
        CrashFleetSimulation fleet = new CrashFleetSimulation(seed, entries, crashingMillis);
        fleet.run(60, 0);
        assertHeld(fleet);
    }
}
