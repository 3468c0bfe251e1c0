package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReturnTimesTest {
    @Test
    void spreadsCallersOverAnEighthOfTheirTime() {
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 0, 0)).isEqualTo(600);
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 0, 1)).isEqualTo(990);
    }

    /*
     * What a caller sees when this breaks: its first request stands behind those that come after it.
     * Callers of one route wait between 0.85 and 1 of the longest time; a caller that has come back has spent a fifth of its own.
     * The cause would be that whoever has less time than the most patient caller is taken for one who has come back.
     */
    @Test
    void takesNobodyForBackWhoIsOnlyLessPatientThanOthers() {
        assertThat(ReturnTimes.INSTANCE.isBack(10_200, 12_000)).isFalse();
        assertThat(ReturnTimes.INSTANCE.isBack(12_000, 12_000)).isFalse();
    }

    @Test
    void knowsWhoHasComeBackWhenAskedTo() {
        long left = 12_000 - ReturnTimes.INSTANCE.spread(12_000, 0, 0);
        assertThat(ReturnTimes.INSTANCE.isBack(left, 12_000)).isTrue();
    }

    @Test
    void asksNobodyBackBeforeThereIsRoom() {
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 800, 0)).isEqualTo(800);
    }

    @Test
    void asksNobodyBackLaterThanCallersComeBack() {
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 5_000, 0)).isEqualTo(990);
    }

    @Test
    void leavesSomeTimeToACallerThatHasHardlyAnyLeft() {
        assertThat(ReturnTimes.INSTANCE.latest(0)).isEqualTo(1);
    }
}
