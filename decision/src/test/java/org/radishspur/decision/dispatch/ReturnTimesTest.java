package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReturnTimesTest {
    @Test
    void spreadsCallersOverAnEighthOfTheirTime() {
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 0, 0)).isEqualTo(600);
        assertThat(ReturnTimes.INSTANCE.spread(3_000, 0, 1)).isEqualTo(990);
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
