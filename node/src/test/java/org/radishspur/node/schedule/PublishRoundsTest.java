package org.radishspur.node.schedule;

import java.util.Collections;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PublishRoundsTest {
    private static final long TICK_MILLIS = 40;

    private final PublishRounds rounds = new PublishRounds(TICK_MILLIS, 150);

    private void peers(int number) {
        rounds.setPeers(Collections.nCopies(number, "peer"));
    }

    @Test
    void publishesOnEveryTickToFewPeers() {
        peers(6);
        assertThat(rounds.roundMillis()).isEqualTo(TICK_MILLIS);
    }

    @Test
    void publishesLessOftenToManyPeers() {
        peers(36);
        assertThat(rounds.roundMillis()).isEqualTo(240);
    }

    @Test
    void beginsNoRoundBeforeItIsDue() {
        peers(36);
        assertThat(rounds.beginRound(0)).isTrue();
        assertThat(rounds.beginRound(TICK_MILLIS)).isFalse();
        assertThat(rounds.beginRound(240)).isTrue();
    }

    @Test
    void beginsNoRoundWithoutPeers() {
        assertThat(rounds.beginRound(0)).isFalse();
    }

    @Test
    void publishesAFullReportEveryFewRounds() {
        peers(36);
        int fullReports = 0;
        for (long now = 0; now < 40 * 240; now += 240) {
            fullReports += rounds.beginRound(now) && rounds.beginFullReport() ? 1 : 0;
        }
        assertThat(fullReports).isEqualTo(10);
    }

    @Test
    void publishesOnlyUsageThatHasChanged() {
        rounds.recordPublished(Map.of(), Map.of("one", 5L, "two", 7L), Map.of());
        assertThat(rounds.changedUsage(Map.of("one", 5L, "two", 8L), Map.of())).isEqualTo(Map.of("two", 8L));
    }

    @Test
    void publishesUsageOfWhichAnotherPartWaits() {
        rounds.recordPublished(Map.of(), Map.of("one", 5L, "two", 7L), Map.of("two", 7L));
        assertThat(rounds.changedUsage(Map.of("one", 5L, "two", 7L), Map.of("two", 3L)))
                .isEqualTo(Map.of("two", 7L));
    }
}
