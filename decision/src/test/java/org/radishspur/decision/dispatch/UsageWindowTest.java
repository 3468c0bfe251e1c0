package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class UsageWindowTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 250, 1_000, 8_000, 60_000})
    void keepsUseForAWindowAndAtMostASliceMore(long windowMillis) {
        UsageWindow window = new UsageWindow(windowMillis, 7);
        window.add(5, 7);
        window.advance(7 + windowMillis - 1);
        assertThat(window.total()).isEqualTo(5);
        window.advance(7 + windowMillis + windowMillis / 300 + 1);
        assertThat(window.total()).isZero();
    }

    @Test
    void spreadsUseOverTheSpanAndDropsWhatHasExpired() {
        UsageWindow window = new UsageWindow(8_000, 20_000);
        window.addEvenly(1_600, 4_000, 20_000);
        assertThat(window.total()).isCloseTo(800, within(3.0));
        window.advance(24_000);
        assertThat(window.total()).isCloseTo(400, within(3.0));
    }

    @Test
    void removesUseOfTheMomentAndThenOfTheTimeBefore() {
        UsageWindow window = new UsageWindow(8_000, 0);
        window.add(3, 0);
        window.advance(4_000);
        window.add(3, 4_000);
        window.remove(4, 4_000);
        assertThat(window.total()).isEqualTo(2);
        window.advance(8_100);
        assertThat(window.total()).isZero();
    }
}
