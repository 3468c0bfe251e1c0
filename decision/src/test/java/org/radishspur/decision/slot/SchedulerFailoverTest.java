package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulerFailoverTest {
    private static final Map<String, String> SCHEDULERS =
            Map.of("one", "a", "two", "a", "three", "a", "four", "b", "five", "b");
    private static final List<String> ORDER = SchedulerChoice.sortByPreference("entry", "a", SCHEDULERS);

    private final FakeContacts contacts = new FakeContacts();
    private final SchedulerFailover failover = new SchedulerFailover("entry", "a", contacts);

    @BeforeEach
    void setSchedulers() {
        failover.setSchedulers(SCHEDULERS);
    }

    /** Lets the first scheduler be silent from 0 ms on, as the entry notices it. */
    private void loseFirst() {
        failover.onUnanswered(50);
        failover.recordSilence(ORDER.get(0), 150);
    }

    @Nested
    class WhereNothingFails {
        @Test
        void choosesByPreferenceAndPingsNobody() {
            assertThat(failover.choose("", 0)).contains(ORDER.get(0));
            assertThat(contacts.pinged).isEmpty();
        }
    }

    @Nested
    class WhereSeveralAreLostAtOnce {
        /** Guards against a request that waits for one lost scheduler after the other. */
        @Test
        void choosesTheOneThatAnswersTheProbe() {
            contacts.answeredAt.put(ORDER.get(3), 52L);
            loseFirst();
            assertThat(contacts.pinged).containsAll(ORDER);
            assertThat(failover.choose("", 150)).contains(ORDER.get(3));
        }

        /** Guards against a lost scheduler that gets all requests again whenever its avoidance ends. */
        @Test
        void doesNotReturnToOneThatHasNotAnswered() {
            contacts.answeredAt.put(ORDER.get(3), 52L);
            loseFirst();
            for (long now = 200; now < 20_000; now += 50) {
                assertThat(failover.choose(ORDER.get(3), now)).contains(ORDER.get(3));
            }
        }

        @Test
        void returnsToOneThatAnswersAgain() {
            contacts.answeredAt.put(ORDER.get(3), 52L);
            loseFirst();
            contacts.answeredAt.put(ORDER.get(0), 900L);
            assertThat(failover.choose(ORDER.get(3), 1_000)).contains(ORDER.get(3));
            assertThat(failover.choose(ORDER.get(3), 1_150)).contains(ORDER.get(0));
        }

        @Test
        void choosesNoneWhileNoneAnswersAndPingsThemOnAndOn() {
            loseFirst();
            assertThat(failover.choose("", 160)).isEmpty();
            contacts.pinged.clear();
            assertThat(failover.choose("", 270)).isEmpty();
            assertThat(contacts.pinged).containsAll(ORDER);
        }

        /** Guards against schedulers that count as lost because the last probe was long ago. */
        @Test
        void probesAgainWhereTheLastProbeIsOld() {
            failover.onUnanswered(50);
            contacts.pinged.clear();
            failover.recordSilence(ORDER.get(0), 600);
            assertThat(contacts.pinged).containsAll(ORDER);
            contacts.answeredAt.put(ORDER.get(1), 602L);
            assertThat(failover.choose("", 605)).contains(ORDER.get(1));
        }
    }

    @Nested
    class WhereSchedulersAreSlow {
        /** Guards against probes that add to the load of schedulers that are slow because of their load. */
        @Test
        void probesOnceASecondAtMost() {
            for (long now = 50; now < 1_000; now += 50) {
                failover.onUnanswered(now);
            }
            assertThat(contacts.pinged).hasSize(ORDER.size());
        }
    }

    @Nested
    class WhereOneIsNotReady {
        /** Guards against pending requests that move to and fro between a scheduler that serves and one that doesn't. */
        @Test
        void staysWithTheOneThatServes() {
            failover.recordUnready(ORDER.get(0), 0);
            assertThat(failover.choose(ORDER.get(1), 500)).contains(ORDER.get(1));
            assertThat(failover.choose(ORDER.get(1), 1_000)).contains(ORDER.get(0));
        }

        @Test
        void triesItSoonerWhereNoneServes() {
            ORDER.forEach(address -> failover.recordUnready(address, 0));
            assertThat(failover.choose("", 99)).isEmpty();
            assertThat(failover.choose("", 100)).contains(ORDER.get(0));
        }

        /** Guards against requests that pass over all schedulers that aren't ready, again every 100 ms. */
        @Test
        void triesItMoreRarelyEachTime() {
            ORDER.forEach(address -> failover.recordUnready(address, 0));
            ORDER.forEach(address -> failover.recordUnready(address, 100));
            assertThat(failover.choose("", 299)).isEmpty();
            assertThat(failover.choose("", 300)).isPresent();
        }
    }

    /** Connected schedulers, of which a test sets the answers. */
    private static final class FakeContacts implements SchedulerFailover.Contacts {
        private final Map<String, Long> answeredAt = new HashMap<>();
        private final List<String> pinged = new ArrayList<>();

        /** {@inheritDoc} */
        @Override
        public boolean isConnected(String address) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public long answeredAt(String address) {
            return answeredAt.getOrDefault(address, Long.MIN_VALUE);
        }

        /** {@inheritDoc} */
        @Override
        public void ping(String address) {
            pinged.add(address);
        }
    }
}
