package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.PoolDispatcher.Decision;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Has a caller that waits 1.5 s for the first byte ask a pool whose two fast engines are taken and whose slow one, which is
 * free, needs 2 s for it.
 */
class FirstByteBeforeCallersLeaveTest {
    private static final long NOW = 10_000;
    private static final long CALLER_WAITS_MILLIS = 1_500;
    private static final long LEFT_MILLIS = 12_000;
    private static final double FAST_EVENT_MILLIS = 10;
    private static final double SLOW_EVENT_MILLIS = 200;
    private static final double FIRST_EVENTS = 10;
    private static final long RELEASE_MILLIS = 100;

    private final PoolDispatcher dispatcher = new PoolDispatcher(new UpstreamPool("self", "a", 1));
    private final QueuedRequest running = late(LEFT_MILLIS);
    private UpstreamLoad fast;
    private UpstreamLoad slow;

    /** Returns a request that is answered late, as the retry of a caller in a burst. */
    private static QueuedRequest late(long callerWaitsMillis) {
        return new QueuedRequest(
                "late",
                0,
                NOW,
                NOW + callerWaitsMillis,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(1_000, 0, 0, NOW, NOW + LEFT_MILLIS));
    }

    private static Upstream engine(String id) {
        return new Upstream(id, 1, "pool", "10.0.0.1:80", "a", "v1", 1, false, false);
    }

    private UpstreamLoad find(String id) {
        return dispatcher.upstreams().find(engine(id).runId()).orElseThrow();
    }

    private static void recordAnswers(UpstreamLoad load, double eventMillis) {
        for (int answer = 0; answer < 50; answer++) {
            load.recordEventTime(eventMillis, 1);
            load.recordFirstByte(answer, 1_000, (long) (FIRST_EVENTS * eventMillis), NOW);
        }
    }

    @BeforeEach
    void takeTheFastEngines() {
        dispatcher.upstreams().refresh(List.of(engine("fast"), engine("other"), engine("slow")));
        fast = find("fast");
        UpstreamLoad otherFast = find("other");
        slow = find("slow");
        recordAnswers(fast, FAST_EVENT_MILLIS);
        recordAnswers(otherFast, FAST_EVENT_MILLIS);
        recordAnswers(slow, SLOW_EVENT_MILLIS);
        for (long at = NOW - 5_000; at < NOW; at += RELEASE_MILLIS) {
            fast.recordSent(running, 0, at);
            dispatcher.release(fast, running, at);
        }
        fast.recordSent(running, 0, NOW);
        otherFast.recordSent(late(LEFT_MILLIS), 0, NOW);
    }

    /** Guards against callers who leave without an event, as their request waits for the first byte of a slow engine. */
    @Test
    void aCallerIsServedBeforeItLeaves() {
        QueuedRequest queued = late(CALLER_WAITS_MILLIS);
        assertThat(dispatcher.offer(queued, NOW)).isInstanceOf(Decision.Queued.class);
        dispatcher.release(fast, running, NOW + RELEASE_MILLIS);
        assertThat(dispatcher.dispatchQueued(NOW + RELEASE_MILLIS)).containsExactly(new Decision.Granted(queued, fast));
    }

    /** Guards against a slow engine that is left idle though its first byte comes in time. */
    @Test
    void aCallerThatWaitsLongerTakesTheSlowEngine() {
        QueuedRequest queued = late(LEFT_MILLIS);
        assertThat(dispatcher.offer(queued, NOW)).isEqualTo(new Decision.Granted(queued, slow));
    }
}
