package org.radishspur.node.fleet;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.LinkHealth.Action;

import static org.assertj.core.api.Assertions.assertThat;

class LinkHealthTest {
    private static final long CHECK_INTERVAL_MILLIS = 300;
    private static final long SECOND_MILLIS = 1_000;

    /** After this time without a message a scheduler takes an entry for lost, in milliseconds. */
    private static final long ENTRY_TIMEOUT_MILLIS = 1_200;

    private final LinkHealth health = new LinkHealth();

    @BeforeEach
    void open() {
        health.onOpened(0);
    }

    /** Looks after the link until a time, and returns when it is given up, or that time. */
    private long reconnectedAt(long until, boolean attended) {
        for (long now = CHECK_INTERVAL_MILLIS; now < until; now += CHECK_INTERVAL_MILLIS) {
            if (health.nextAction(attended, now) == Action.RECONNECT) {
                return now;
            }
        }
        return until;
    }

    private int countPings(long from, long millis, boolean attended) {
        int pings = 0;
        for (long now = from; now < from + millis; now += CHECK_INTERVAL_MILLIS) {
            if (health.nextAction(attended, now) == Action.PING) {
                pings++;
                health.onReceived(now + 1);
            }
        }
        return pings;
    }

    @Nested
    class InUse {
        /** Guards against requests that go into a connection which has fallen silent without a reset. */
        @Test
        void isGivenUpSoonAfterItHasFallenSilent() {
            assertThat(reconnectedAt(10 * SECOND_MILLIS, true)).isLessThanOrEqualTo(2 * SECOND_MILLIS);
        }

        /** Guards against a scheduler that takes an entry for lost which holds slots but sends nothing for a while. */
        @Test
        void isPingedOftenEnoughForTheOtherEnd() {
            assertThat(countPings(60 * SECOND_MILLIS, 12 * SECOND_MILLIS, true))
                    .isGreaterThan((int) (12 * SECOND_MILLIS / ENTRY_TIMEOUT_MILLIS));
        }

        /** Guards against a sound link that is given up because it was idle before it was used. */
        @Test
        void isNotGivenUpWhenItHasBeenIdleBefore() {
            long now = 60 * SECOND_MILLIS;
            health.onReceived(now - 1_900);
            health.onSent(now);
            assertThat(health.nextAction(false, now)).isEqualTo(Action.PING);
            health.onReceived(now + 1);
            assertThat(health.nextAction(false, now + CHECK_INTERVAL_MILLIS)).isEqualTo(Action.PING);
        }
    }

    @Nested
    class Idle {
        /** Guards against hosts that do little else than ping the control hosts that they don't need. */
        @Test
        void isPingedEveryFewSeconds() {
            assertThat(countPings(60 * SECOND_MILLIS, 12 * SECOND_MILLIS, false))
                    .isBetween(3, 6);
        }

        /** Guards against a link that seems to be there until it is needed. */
        @Test
        void isGivenUpAsWellOnceItIsSilent() {
            assertThat(reconnectedAt(20 * SECOND_MILLIS, false)).isLessThan(5 * SECOND_MILLIS);
        }
    }
}
