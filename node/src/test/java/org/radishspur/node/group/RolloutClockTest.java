package org.radishspur.node.group;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.replication.state.CatalogueState.Rollout;
import org.radishspur.replication.state.CatalogueState.RolloutStage;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutClockTest {
    private static final long ORDERED = 1_000_000;
    private static final Rollout ROLLOUT = new Rollout("pool", "v2", 10_000, ORDERED, RolloutStage.RUNNING);

    private final RolloutClock clock = new RolloutClock();

    /** Guards against a step of the wall clock that ends a trial before it has shown anything, or that prolongs it. */
    @Test
    void ignoresStepsOfTheWallClock() {
        clock.observe(List.of(ROLLOUT), ORDERED + 100, 50);
        clock.observe(List.of(ROLLOUT), ORDERED + 8_600, 550);
        assertThat(clock.elapsedShare(ROLLOUT, 550)).isEqualTo(0.06);
        clock.observe(List.of(ROLLOUT), ORDERED - 4_000, 5_050);
        assertThat(clock.elapsedShare(ROLLOUT, 5_050)).isEqualTo(0.51);
    }

    @Test
    void takesTheTimeBeforeItsStartFromTheWallClock() {
        clock.observe(List.of(ROLLOUT), ORDERED + 3_000, 20);
        assertThat(clock.elapsedShare(ROLLOUT, 1_020)).isEqualTo(0.4);
    }

    @Test
    void countsTheTimeOfAnotherRolloutOfThePoolFromItsOwnStart() {
        clock.observe(List.of(ROLLOUT), ORDERED, 0);
        Rollout next = new Rollout("pool", "v3", 10_000, ORDERED + 5_000, RolloutStage.RUNNING);
        clock.observe(List.of(next), ORDERED + 5_000, 5_000);
        assertThat(clock.elapsedShare(next, 6_000)).isEqualTo(0.1);
    }

    @Test
    void keepsTheStartWhileTheStageChanges() {
        clock.observe(List.of(ROLLOUT), ORDERED, 0);
        Rollout moving = new Rollout("pool", "v2", 10_000, ORDERED, RolloutStage.MOVING);
        clock.observe(List.of(moving), ORDERED, 9_000);
        assertThat(clock.elapsedShare(moving, 9_000)).isEqualTo(0.9);
    }
}
