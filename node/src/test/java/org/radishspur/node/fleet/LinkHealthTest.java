package org.radishspur.node.fleet;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.LinkHealth.Action;

import static org.assertj.core.api.Assertions.assertThat;

class LinkHealthTest {
    private static final long CHECK_INTERVAL_MILLIS = 300;
    private static final long SECOND_MILLIS = 1_000;

    /** The time without a message after which a scheduler considers an entry lost, in milliseconds. */
    private static final long ENTRY_TIMEOUT_MILLIS = 1_200;

    private final LinkHealth health = new LinkHealth();

    @BeforeEach
    void open() {
        health.onOpened(0);
    }

    /** Checks the link, which never answers, until the given time; returns when it is replaced, or that time. */
    private long reconnectedAt(long until, boolean watched) {
        for (long now = CHECK_INTERVAL_MILLIS; now < until; now += CHECK_INTERVAL_MILLIS) {
            if (health.nextAction(watched, now) == Action.RECONNECT) {
                return now;
            }
        }
        return until;
    }

    private int countPings(long from, long millis, boolean watched) {
        int pings = 0;
        for (long now = from; now < from + millis; now += CHECK_INTERVAL_MILLIS) {
            if (health.nextAction(watched, now) == Action.PING) {
                pings++;
                health.onReceived(now + 1);
            }
        }
        return pings;
    }

    @Nested
    class InUse {
        /** Guards against requests that are sent over a connection that no longer delivers them but was never reset. */
        @Test
        void isReplacedSoonAfterItStopsAnswering() {
            assertThat(reconnectedAt(10 * SECOND_MILLIS, true)).isLessThanOrEqualTo(2 * SECOND_MILLIS);
        }

        /**
         * Guards against a scheduler that considers an entry lost while it holds slots but sends nothing for a while.
         */
        @Test
        void isPingedOftenEnoughForTheOtherEnd() {
            assertThat(countPings(60 * SECOND_MILLIS, 12 * SECOND_MILLIS, true))
                    .isGreaterThan((int) (12 * SECOND_MILLIS / ENTRY_TIMEOUT_MILLIS));
        }

        /** Guards against the replacement of a working link because it was idle before it was used. */
        @Test
        void isNotReplacedWhenItWasIdleBefore() {
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
        /** Guards against idle hosts that spend most of their work on pings to control hosts that they don't use. */
        @Test
        void isPingedEveryFewSeconds() {
            assertThat(countPings(60 * SECOND_MILLIS, 12 * SECOND_MILLIS, false))
                    .isBetween(3, 6);
        }

        /** Guards against a broken link that is detected only when it is needed. */
        @Test
        void isReplacedOnceItStopsAnswering() {
            assertThat(reconnectedAt(20 * SECOND_MILLIS, false)).isLessThan(5 * SECOND_MILLIS);
        }
    }
}
