package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.PoolDispatcher.Decision;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

class PoolDispatcherTest {
    private static final long NOW = 1_000;

    private static Upstream upstream(String id, String domain, int slots, boolean leaving) {
        return new Upstream(id, 1, "pool", "10.0.0.1:80", domain, "v1", slots, leaving, false);
    }

    private static PoolDispatcher dispatcher(Upstream... listed) {
        UpstreamPool pool = new UpstreamPool("entry", "a", 4);
        pool.refresh(List.of(listed));
        return new PoolDispatcher(pool);
    }

    private static QueuedRequest queued(String name, int tier, long queueingMillis) {
        return new QueuedRequest(
                name,
                tier,
                NOW,
                NOW + queueingMillis,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Work(100, 50, tier, NOW + 400, NOW + 8_000));
    }

    private static UpstreamLoad granted(Decision decision) {
        assertThat(decision).isInstanceOf(Decision.Granted.class);
        return ((Decision.Granted) decision).upstream();
    }

    @Nested
    class WithFreePlaces {
        @Test
        void grantsAtOnce() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 2, false));
            granted(dispatcher.offer(queued("r", 0, 200), NOW));
        }

        @Test
        void prefersTheOwnFailureDomainAmongEquals() {
            PoolDispatcher dispatcher = dispatcher(upstream("far", "b", 4, false), upstream("near", "a", 4, false));
            assertThat(granted(dispatcher.offer(queued("r", 0, 200), NOW))
                            .upstream()
                            .id())
                    .isEqualTo("near");
        }

        @Test
        void sendsNothingToAnUpstreamThatLeaves() {
            PoolDispatcher dispatcher = dispatcher(upstream("leaving", "a", 4, true), upstream("stays", "b", 4, false));
            assertThat(granted(dispatcher.offer(queued("r", 0, 200), NOW))
                            .upstream()
                            .id())
                    .isEqualTo("stays");
        }

        /** A list that lags shows an upstream as live again after another one has shown it leaving: leaving wins. */
        @Test
        void doesNotTakeALeavingUpstreamBack() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 4, true));
            dispatcher.upstreams().refresh(List.of(upstream("one", "a", 4, false)));
            assertThat(dispatcher.offer(queued("r", 0, 0), NOW)).isInstanceOf(Decision.Refused.class);
        }

        @Test
        void countsWhatOtherEntriesHaveInProgress() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 2, false), upstream("two", "b", 2, false));
            dispatcher.upstreams().loads().stream()
                    .filter(load -> load.upstream().id().equals("one"))
                    .forEach(load -> load.recordPeerInProgress("other", 2));
            assertThat(granted(dispatcher.offer(queued("r", 0, 200), NOW))
                            .upstream()
                            .id())
                    .isEqualTo("two");
        }
    }

    @Nested
    class WithoutFreePlaces {
        @Test
        void letsARequestWaitThatIsLikelyToGetAPlaceInTime() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 1, false));
            QueuedRequest first = queued("first", 0, 500);
            UpstreamLoad place = granted(dispatcher.offer(first, NOW));
            QueuedRequest second = queued("second", 0, 600);
            assertThat(dispatcher.offer(second, NOW)).isInstanceOf(Decision.Waits.class);
            dispatcher.release(place, first, NOW + 100);
            assertThat(dispatcher.advance(NOW + 100))
                    .singleElement()
                    .satisfies(decision -> assertThat(granted(decision)).isSameAs(place));
        }

        @Test
        void refusesAtOnceWhatCannotGetAPlaceInTime() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 1, false));
            granted(dispatcher.offer(queued("first", 0, 500), NOW));
            assertThat(dispatcher.offer(queued("second", 0, 100), NOW))
                    .isInstanceOfSatisfying(
                            Decision.Refused.class,
                            refused -> assertThat(refused.retryAfterMillis()).isPositive());
        }

        @Test
        void refusesARequestThatHasWaitedTooLong() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 1, false));
            granted(dispatcher.offer(queued("first", 0, 500), NOW));
            QueuedRequest second = queued("second", 0, 600);
            dispatcher.offer(second, NOW);
            assertThat(dispatcher.advance(NOW + 600))
                    .singleElement()
                    .isInstanceOfSatisfying(
                            Decision.Refused.class,
                            refused -> assertThat(refused.queued()).isSameAs(second));
        }

        @Test
        void servesTheMoreUrgentTierFirst() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 1, false));
            QueuedRequest first = queued("first", 0, 500);
            UpstreamLoad place = granted(dispatcher.offer(first, NOW));
            QueuedRequest low = queued("low", 2, 1_500);
            QueuedRequest high = queued("high", 0, 1_600);
            dispatcher.offer(low, NOW);
            dispatcher.offer(high, NOW);
            dispatcher.release(place, first, NOW + 10);
            assertThat(dispatcher.advance(NOW + 10))
                    .singleElement()
                    .satisfies(decision -> assertThat(decision.queued()).isSameAs(high));
        }
    }

    /**
     * Requests of all tiers arrive at several entries; each entry serves its own line, so that a place that becomes free where
     * only less urgent ones wait would go to them while a more urgent one is refused elsewhere.
     */
    @Nested
    class ReservesPlaces {
        @Test
        void leavesTheLastPlacesToMoreUrgentTiers() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 20, false));
            granted(dispatcher.offer(queued("urgent", 0, 500), NOW));
            int taken = 0;
            while (dispatcher.offer(queued("low", 2, 0), NOW) instanceof Decision.Granted) {
                taken++;
            }
            assertThat(taken).isEqualTo(18);
            granted(dispatcher.offer(queued("urgent", 0, 500), NOW));
        }

        @Test
        void reservesNothingWhereOnlyOneTierAsks() {
            PoolDispatcher dispatcher = dispatcher(upstream("one", "a", 10, false));
            int taken = 0;
            while (dispatcher.offer(queued("low", 2, 0), NOW) instanceof Decision.Granted) {
                taken++;
            }
            assertThat(taken).isEqualTo(10);
        }
    }

    /**
     * Two of three engines are fast, one takes 4.4 times as long, as in pools of two generations of hardware: 13.5 ms and 60 ms
     * an event. An answer of 200 events takes 2.7 s on a fast one and 12 s on the slow one, where its caller waits for 8 s.
     */
    @Nested
    class WithEnginesOfUnlikeSpeed {
        private static final double FAST_PACE = 13.5;
        private static final double SLOW_PACE = 60;
        private static final long EVENTS_PER_EXPECTED_TOKEN = 5;

        private PoolDispatcher learned() {
            PoolDispatcher dispatcher = dispatcher(upstream("fast", "a", 2, false), upstream("slow", "a", 2, false));
            for (UpstreamLoad load : dispatcher.upstreams().loads()) {
                boolean fast = load.upstream().id().equals("fast");
                for (int count = 0; count < 20; count++) {
                    long prompt = 500 + 200L * count;
                    load.began(count, 0, NOW);
                    load.answered(count, prompt, (long) (fast ? 20 + prompt / 230.0 : 80 + prompt / 52.0), NOW);
                    load.ended(count);
                    load.recordEventTime(fast ? FAST_PACE : SLOW_PACE, 1);
                }
            }
            dispatcher.upstreams().outputs().add(EVENTS_PER_EXPECTED_TOKEN * 100, 100);
            return dispatcher;
        }

        private QueuedRequest generation(long promptTokens, long expectedTokens, long queueingMillis) {
            return new QueuedRequest(
                    "g",
                    0,
                    NOW,
                    NOW + queueingMillis,
                    VersionRule.Any.INSTANCE,
                    new QueuedRequest.Work(promptTokens, expectedTokens, 0, NOW + 400, NOW + 8_000));
        }

        @Test
        void fillsTheFastOneFirst() {
            PoolDispatcher dispatcher = learned();
            List<String> order = new ArrayList<>();
            for (int count = 0; count < 4; count++) {
                order.add(granted(dispatcher.offer(generation(1_000, 100, 200), NOW))
                        .upstream()
                        .id());
            }
            assertThat(order).containsExactly("fast", "fast", "slow", "slow");
        }

        @Test
        void letsALongAnswerWaitForTheFastOne() {
            PoolDispatcher dispatcher = learned();
            QueuedRequest first = generation(1_000, 100, 200);
            UpstreamLoad fast = granted(dispatcher.offer(first, NOW));
            granted(dispatcher.offer(generation(1_000, 100, 200), NOW));
            assertThat(dispatcher.offer(generation(1_000, 1_000, 600), NOW)).isInstanceOf(Decision.Waits.class);
            dispatcher.release(fast, first, NOW + 50);
            assertThat(dispatcher.advance(NOW + 50))
                    .singleElement()
                    .satisfies(decision -> assertThat(granted(decision)).isSameAs(fast));
        }

        @Test
        void letsALongPromptWaitForTheFastOne() {
            PoolDispatcher dispatcher = learned();
            granted(dispatcher.offer(generation(1_000, 100, 200), NOW));
            granted(dispatcher.offer(generation(1_000, 100, 200), NOW));
            assertThat(dispatcher.offer(generation(50_000, 100, 600), NOW)).isInstanceOf(Decision.Waits.class);
        }

        @Test
        void takesTheSlowOneRatherThanNoneWhenTheWaitIsHalfOver() {
            PoolDispatcher dispatcher = learned();
            granted(dispatcher.offer(generation(1_000, 100, 200), NOW));
            granted(dispatcher.offer(generation(1_000, 100, 200), NOW));
            dispatcher.offer(generation(50_000, 100, 600), NOW);
            assertThat(dispatcher.advance(NOW + 300))
                    .singleElement()
                    .satisfies(decision ->
                            assertThat(granted(decision).upstream().id()).isEqualTo("slow"));
        }
    }

    @Nested
    class WithFastAndSlowUpstreams {
        private static final int PLACES = 20;

        private final Upstream fast = upstream("fast", "a", PLACES, false);
        private final Upstream slow = upstream("slow", "a", PLACES, false);

        /** Fills all places but one of the fast upstream; the slow one is empty. */
        private PoolDispatcher unlike() {
            PoolDispatcher dispatcher = dispatcher(fast, slow);
            learn(dispatcher, fast, 15);
            learn(dispatcher, slow, 70);
            UpstreamLoad load = dispatcher.upstreams().find(fast.run()).orElseThrow();
            for (int place = 1; place < PLACES; place++) {
                load.began(place, 0, NOW);
            }
            return dispatcher;
        }

        private void learn(PoolDispatcher dispatcher, Upstream upstream, long pace) {
            UpstreamLoad load = dispatcher.upstreams().find(upstream.run()).orElseThrow();
            for (int answer = 0; answer < 5; answer++) {
                load.answered(answer, 100, 2 * pace, NOW);
                load.recordEventTime(10 * pace, 10);
            }
        }

        /** Guards against free slots on slow engines that count for an urgent request, which does not go there. */
        @Test
        void keepsTheLastFastPlaceForAnUrgentRequestThoughSlowOnesAreFree() {
            PoolDispatcher dispatcher = unlike();
            dispatcher.offer(queued("first of its tier", 0, 200), NOW);
            dispatcher.upstreams().find(fast.run()).orElseThrow().ended("first of its tier");
            assertThat(granted(dispatcher.offer(queued("note", 2, 200), NOW)).upstream())
                    .isEqualTo(slow);
            assertThat(granted(dispatcher.offer(queued("urgent", 0, 200), NOW)).upstream())
                    .isEqualTo(fast);
        }
    }
}
