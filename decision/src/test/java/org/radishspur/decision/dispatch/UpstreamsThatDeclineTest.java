package org.radishspur.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.radishspur.decision.dispatch.PoolFixture.queued;
import static org.radishspur.decision.dispatch.PoolFixture.upstream;

/** Chooses among upstreams of which some turn requests away, ask for rest or say that they leave. */
class UpstreamsThatDeclineTest {
    private static final long NOW = 10_000;
    private static final long REST_MILLIS = 3_000;
    private static final List<String> ALL = List.of("one", "two", "three");

    private UpstreamPool upstreams;

    @BeforeEach
    void list() {
        upstreams = new UpstreamPool("entry", "a", 4);
        upstreams.refresh(ALL.stream().map(PoolFixture::upstream).toList());
    }

    private UpstreamLoad load(String id) {
        return upstreams.find(upstream(id).runId()).orElseThrow();
    }

    private static QueuedRequest excluding(List<String> ids) {
        QueuedRequest queued = queued(NOW);
        ids.forEach(id -> queued.excludeUntil(upstream(id).runId().hashCode(), NOW + REST_MILLIS));
        return queued;
    }

    private List<String> chosen(int count, long now) {
        return IntStream.range(0, count)
                .mapToObj(index -> upstreams.choose(queued(now), 0, now))
                .flatMap(Optional::stream)
                .peek(load -> load.recordSent(new Object(), 0, now))
                .map(load -> load.upstream().id())
                .toList();
    }

    private void refuse(String id, int times) {
        for (int number = times - 1; number >= 0; number--) {
            load(id).recordRefusal(NOW - number * 100L);
        }
    }

    /** Guards against an upstream whose quick refusals make it look like the one with most room. */
    @Nested
    class Refusing {
        @Test
        void upstreamIsLeftOutForAWhile() {
            refuse("one", 4);
            assertThat(chosen(12, NOW)).doesNotContain("one").hasSize(8);
        }

        @Test
        void upstreamIsTestedWithOneRequestAfterwards() {
            refuse("one", 4);
            assertThat(chosen(12, NOW + 2_000)).containsOnlyOnce("one");
        }

        @Test
        void upstreamThatRunsARequestGetsItsShareAgain() {
            refuse("one", 4);
            load("one").recordOutcome(true, 0, NOW + 2_000);
            assertThat(chosen(12, NOW + 2_000)).filteredOn("one"::equals).hasSize(4);
        }

        /** Guards against a Retry-After that ends before any upstream accepts requests. */
        @Test
        void poolTakesRequestsFromTheFirstEndOfABackoffOn() {
            refuse("one", 2);
            refuse("two", 4);
            refuse("three", 5);
            assertThat(upstreams.choose(queued(NOW), 0, NOW)).isEmpty();
            assertThat(upstreams.takenFrom(queued(NOW), NOW)).isEqualTo(NOW + 50);
        }
    }

    /** Guards against requests of an entry to an upstream that has asked this entry for rest. */
    @Nested
    class Resting {
        @Test
        void upstreamIsLeftOutForTheEntryThatItAsked() {
            QueuedRequest asked = excluding(List.of("one", "two"));
            assertThat(upstreams.choose(asked, 0, NOW))
                    .hasValueSatisfying(load -> assertThat(load).isSameAs(load("three")));
            assertThat(chosen(12, NOW)).contains("one", "two");
        }

        @Test
        void upstreamIsLeftOutEvenIfItIsTheLast() {
            assertThat(upstreams.choose(excluding(ALL), 0, NOW)).isEmpty();
            assertThat(upstreams.takenFrom(excluding(ALL), NOW)).isEqualTo(NOW + REST_MILLIS);
        }

        @Test
        void requestThatCannotWaitForTheEndIsRefusedWithThatTime() {
            PoolDispatcher dispatcher = new PoolDispatcher(upstreams);
            PoolDispatcher.Decision decision = dispatcher.offer(excluding(ALL), NOW);
            assertThat(decision)
                    .isInstanceOfSatisfying(
                            PoolDispatcher.Decision.Refused.class,
                            refused -> assertThat(refused.retryAfterMillis()).isEqualTo(REST_MILLIS));
        }
    }

    /** Guards against requests to an upstream that has said that it leaves, while the host list names it as ready. */
    @Nested
    class Leaving {
        @Test
        void upstreamIsLeftOutAtOnceWhileOthersServe() {
            load("one").markLeaving(NOW);
            assertThat(chosen(12, NOW)).doesNotContain("one").hasSize(8);
        }

        /** Guards against callers that are refused while the last upstreams of a pool would still serve them. */
        @Test
        void lastUpstreamsServeForAShortWhile() {
            ALL.forEach(id -> load(id).markLeaving(NOW));
            assertThat(chosen(1, NOW + 900)).hasSize(1);
            assertThat(chosen(1, NOW + 1_000)).isEmpty();
            assertThat(upstreams.acceptsRequests(load("one"), NOW + 1_000)).isFalse();
        }

        @Test
        void newRunAtTheSameAddressIsNotLeaving() {
            load("one").markLeaving(NOW);
            upstreams.refresh(List.of(new Upstream("one", 2, "pool", "10.0.0.1:80", "a", "v1", 4, false, false)));
            assertThat(chosen(1, NOW + 2_000)).containsExactly("one");
        }
    }
}
