package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReturnTimesTest {
    @Test
    void spreadsCallersOverTheLastOfTheTimeThatTheyHonour() {
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 0, 0)).isEqualTo(900);
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 0, 1)).isEqualTo(990);
    }

    /** Guards against fresh callers, who wait between 0.85 and 1 of the longest time, that are taken for returning ones. */
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
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 950, 0)).isEqualTo(950);
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
