package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.PoolDispatcher.Decision;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Has requests wait at a full pool that sends the first event 100 ms after it has got a request; it is due 1.5 s after the
 * arrival.
 */
class WaitsForTargetTest {
    private static final long NOW = 10_000;
    private static final long FIRST_BYTE_MILLIS = 100;
    private static final long TARGET_MILLIS = 1_500;

    private final PoolDispatcher dispatcher = new PoolDispatcher(new UpstreamPool("self", "a", 1));
    private final QueuedRequest running = queued("running", 0, 0, NOW + 10_000);
    private UpstreamLoad upstream;

    private static QueuedRequest queued(String name, long arrivedAt, long waitMillis, long targetAt) {
        return new QueuedRequest(
                name,
                0,
                arrivedAt,
                arrivedAt + waitMillis,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(1_000, 0, 0, targetAt, arrivedAt + 12_000));
    }

    private static QueuedRequest firstTry(long arrivedAt) {
        return queued("first try", arrivedAt, TARGET_MILLIS, arrivedAt + TARGET_MILLIS);
    }

    private void recordReleases() {
        for (long at = NOW - 5_000; at < NOW; at += 100) {
            dispatcher.release(upstream, running, at);
            upstream.recordSent(running, 0, at);
        }
    }

    private List<Decision> decisionsAt(long now) {
        return dispatcher.dispatchQueued(now);
    }

    @BeforeEach
    void fillPool() {
        dispatcher
                .upstreams()
                .refresh(List.of(new Upstream("e", 1, "pool", "10.0.0.1:80", "a", "v1", 1, false, false)));
        upstream = dispatcher.upstreams().loads().iterator().next();
        dispatcher.offer(running, NOW - 5_000);
        recordReleases();
    }

    /** Guards against decisions that differ from those before, though the pool's times aren't known. */
    @Test
    void waitsForHalfOfTheTargetWhereTheTimesAreNotKnown() {
        dispatcher.offer(firstTry(NOW), NOW);
        assertThat(decisionsAt(NOW + TARGET_MILLIS / 2 - 1)).isEmpty();
        assertThat(decisionsAt(NOW + TARGET_MILLIS / 2)).singleElement().isInstanceOf(Decision.Refused.class);
    }

    @Nested
    class WithKnownTimes {
        @BeforeEach
        void recordTimes() {
            for (int answer = 0; answer < 50; answer++) {
                upstream.recordEventTime(10, 1);
                upstream.recordFirstByte(answer, 1_000, FIRST_BYTE_MILLIS, NOW);
            }
        }

        /** Guards against a refusal of a request that could still be on time, and against a wait for a late answer. */
        @Test
        void waitsUntilTheFirstEventWouldBeLate() {
            dispatcher.offer(firstTry(NOW), NOW);
            assertThat(decisionsAt(NOW + TARGET_MILLIS - 2 * FIRST_BYTE_MILLIS)).isEmpty();
            assertThat(decisionsAt(NOW + TARGET_MILLIS - FIRST_BYTE_MILLIS))
                    .singleElement()
                    .isInstanceOf(Decision.Refused.class);
        }

        /** Guards against a request with a long prompt that gets no time to wait, because its first event will be late. */
        @Test
        void waitsForHalfOfTheTargetAtLeast() {
            QueuedRequest tight = queued("tight", NOW, 240, NOW + 240);
            dispatcher.offer(tight, NOW);
            assertThat(decisionsAt(NOW + 119)).isEmpty();
            assertThat(decisionsAt(NOW + 120)).singleElement().isInstanceOf(Decision.Refused.class);
        }

        /** Guards against an attempt after a failed one that is given up because it will be late. */
        @Test
        void waitsOnAfterTheTargetWhereTheEntryAsksForIt() {
            dispatcher.offer(queued("second attempt", NOW, 1_000, NOW + 200), NOW);
            assertThat(decisionsAt(NOW + 900)).isEmpty();
        }

        /** Guards against a request that has become late in the queue and takes the slot of one that can be on time. */
        @Test
        void aRequestThatHasBecomeLateGoesBehindOneThatCanBeOnTime() {
            QueuedRequest late = queued("late", NOW, 1_000, NOW + 200);
            QueuedRequest onTime = firstTry(NOW + 150);
            dispatcher.offer(late, NOW);
            dispatcher.offer(onTime, NOW + 150);
            dispatcher.release(upstream, running, NOW + 160);
            assertThat(decisionsAt(NOW + 160))
                    .singleElement()
                    .satisfies(decision -> assertThat(decision.queued()).isSameAs(onTime));
        }

        @Test
        void ofTwoThatCanBeOnTimeTheEarlierGoesFirst() {
            QueuedRequest first = firstTry(NOW);
            dispatcher.offer(first, NOW);
            dispatcher.offer(firstTry(NOW + 150), NOW + 150);
            dispatcher.release(upstream, running, NOW + 160);
            assertThat(decisionsAt(NOW + 160))
                    .singleElement()
                    .satisfies(decision -> assertThat(decision.queued()).isSameAs(first));
        }
    }
}
