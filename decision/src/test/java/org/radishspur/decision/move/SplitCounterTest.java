package org.radishspur.decision.move;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class SplitCounterTest {
    @Property(seed = "12", tries = 200, shrinking = ShrinkingMode.OFF)
    void theNewVersionGetsAtMostOneRequestMoreThanItsShare(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 99) int percent) {
        Random random = new Random(seed);
        VersionSplit split = new VersionSplit(1, "old", "new", percent / 100.0);
        SplitCounter counter = new SplitCounter(split);
        counter.setSplit(split);
        long toNew = 0;
        for (int request = 1; request <= 500; request++) {
            boolean useNew = counter.isNewVersionAllowed() && random.nextInt(10) > 0;
            assertThat(useNew || counter.isOldVersionAllowed()).isTrue();
            counter.recordGrant(useNew);
            toNew += useNew ? 1 : 0;
            assertThat(toNew).isLessThanOrEqualTo(1 + (long) Math.floor(split.share() * request));
        }
    }

    @Property(seed = "13", tries = 20, shrinking = ShrinkingMode.OFF)
    void aHaltedVersionGetsNoRequestsUntilTheNextMove(@ForAll @IntRange(min = 0, max = 100) int percent) {
        SplitCounter counter = new SplitCounter(VersionSplit.ANY);
        counter.setSplit(new VersionSplit(1, "old", "new", 0.5));
        counter.haltNewVersion();
        counter.setSplit(new VersionSplit(1, "old", "new", percent / 100.0));
        assertThat(counter.isNewVersionAllowed()).isFalse();
        assertThat(counter.isOldVersionAllowed()).isTrue();
        counter.setSplit(new VersionSplit(2, "old", "newer", 0.5));
        assertThat(counter.isNewVersionAllowed()).isTrue();
    }
}
