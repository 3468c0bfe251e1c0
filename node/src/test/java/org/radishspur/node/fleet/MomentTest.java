package org.radishspur.node.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MomentTest {
    private static final Moment EARLIER = new Moment(1_000, 500_000);

    /** Guards against old data that looks fresh after a host was suspended and its monotonic clock stopped. */
    @Test
    void countsTimeInWhichTheHostWasSuspended() {
        assertThat(new Moment(1_010, 505_010).millisSince(EARLIER)).isEqualTo(5_010);
    }

    /** Guards against old data that seems to come from the future after the time of day was set back by two seconds. */
    @Test
    void countsTimeAlthoughTheTimeOfDayWasSetBack() {
        assertThat(new Moment(4_000, 501_000).millisSince(EARLIER)).isEqualTo(3_000);
    }

    @Test
    void isNeverNegative() {
        assertThat(new Moment(900, 400_000).millisSince(EARLIER)).isZero();
    }

    @Test
    void isVeryLongSinceLongAgo() {
        assertThat(EARLIER.millisSince(Moment.LONG_AGO)).isGreaterThan(1_000_000_000);
    }
}
