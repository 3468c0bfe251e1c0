package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LimitedUsageWindowTest {
    private static final long WINDOW_MILLIS = 8_000;

    private final LimitedUsageWindow window = new LimitedUsageWindow(WINDOW_MILLIS, 10, 0);

    @Test
    void returnsWhenAnAmountHasExpired() {
        window.add(3, 0);
        window.advance(4_000);
        window.add(3, 4_000);
        assertThat(LimitedUsageWindow.millisUntilExpired(List.of(window), 3, 5_000))
                .isEqualTo(3_020);
        assertThat(LimitedUsageWindow.millisUntilExpired(List.of(window), 4, 5_000))
                .isEqualTo(7_020);
    }

    @Test
    void returnsWhenAnAmountOfTwoWindowsHasExpired() {
        LimitedUsageWindow other = new LimitedUsageWindow(WINDOW_MILLIS, 10, 0);
        other.advance(1_000);
        other.add(2, 1_000);
        other.advance(4_000);
        window.advance(4_000);
        window.add(3, 4_000);
        assertThat(LimitedUsageWindow.millisUntilExpired(List.of(window, other), 2, 5_000))
                .isEqualTo(4_020);
        assertThat(LimitedUsageWindow.millisUntilExpired(List.of(window, other), 3, 5_000))
                .isEqualTo(7_020);
    }

    @Test
    void countsRecentUseInProportionToALoweredLimitToo() {
        window.add(4, 0);
        window.setLimit(5, 100);
        window.add(1, 100);
        assertThat(window.totalSince(0)).isEqualTo(3);
        assertThat(window.totalSince(100)).isEqualTo(1);
    }

    /** Guards against limits that are kept for as long as the process runs. */
    @Test
    void forgetsALimitOnceItsUseHasExpired() {
        window.add(4, 0);
        window.setLimit(5, 1_000);
        window.advance(WINDOW_MILLIS - 20);
        assertThat(window.total()).isEqualTo(2);
        window.add(1, 500);
        window.advance(1_000 + WINDOW_MILLIS + 40);
        window.add(1, 1_000 + WINDOW_MILLIS);
        window.setLimit(10, 1_000 + WINDOW_MILLIS + 40);
        assertThat(window.total()).isEqualTo(1);
    }
}
