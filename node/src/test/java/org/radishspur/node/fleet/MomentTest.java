package org.radishspur.node.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MomentTest {
    private static final Moment EARLIER = new Moment(1_000, 500_000);

    /** A host is suspended for five seconds: the monotonic clock stands still, and old belief would look fresh. */
    @Test
    void countsTimeInWhichTheHostWasSuspended() {
        assertThat(new Moment(1_010, 505_010).since(EARLIER)).isEqualTo(5_010);
    }

    /** The time of day is set back by two seconds: what is old would look as if it came from the future. */
    @Test
    void countsTimeAlthoughTheTimeOfDayWasSetBack() {
        assertThat(new Moment(4_000, 501_000).since(EARLIER)).isEqualTo(3_000);
    }

    @Test
    void isNeverNegative() {
        assertThat(new Moment(900, 400_000).since(EARLIER)).isZero();
    }

    @Test
    void findsNothingFreshFromLongAgo() {
        assertThat(EARLIER.since(Moment.LONG_AGO)).isGreaterThan(1_000_000_000);
    }
}
