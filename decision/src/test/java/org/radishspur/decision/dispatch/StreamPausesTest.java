package org.radishspur.decision.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntToDoubleFunction;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.PoolDispatcher.Decision;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests decisions about a fast engine and a slow one, whose streams pause for up to seven times their time per event
 * while they read prompts of 4,000 tokens and more.
 */
class StreamPausesTest {
    private static final long NOW = 10_000;
    private static final long ALLOWED_PAUSE = 300;
    private static final long LONG_PROMPT = 4_000;
    private static final long SHORT_PROMPT = 500;
    private static final double FAST_EVENT_MILLIS = 12;
    private static final double SLOW_EVENT_MILLIS = 56;

    /** The time for reading a token as a multiple of the time per event. */
    private static final double READING_EVENTS = 0.0015;

    private static final int SLOTS = 4;

    private final UpstreamPool upstreams = new UpstreamPool("entry", "a", SLOTS);
    private final PoolDispatcher dispatcher = new PoolDispatcher(upstreams);
    private final Deque<Object> sent = new ArrayDeque<>();
    private UpstreamLoad fast;
    private UpstreamLoad slow;

    @BeforeEach
    void list() {
        upstreams.refresh(List.of(upstream("fast"), upstream("slow")));
        fast = load("fast");
        slow = load("slow");
        fast.recordEventTime(FAST_EVENT_MILLIS, 1);
        slow.recordEventTime(SLOW_EVENT_MILLIS, 1);
    }

    private static Upstream upstream(String id) {
        return new Upstream(id, 1, "pool", "10.0.0.1:80", "a", "v1", SLOTS, false, false);
    }

    private UpstreamLoad load(String id) {
        return upstreams.find(upstream(id).runId()).orElseThrow();
    }

    private static QueuedRequest request(long promptTokens, long maxPauseMillis) {
        return request(promptTokens, maxPauseMillis, NOW);
    }

    private static QueuedRequest request(long promptTokens, long maxPauseMillis, long arrivedAt) {
        QueuedRequest queued = new QueuedRequest(
                "r",
                0,
                arrivedAt,
                arrivedAt + 4_000,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(promptTokens, 40, 0, arrivedAt + 5_000, arrivedAt + 12_000));
        queued.setTerms(new RequestTerms(maxPauseMillis, List.of()));
        return queued;
    }

    /**
     * Answers requests at both engines, one after the other, until pauses and reading times are known. One stream in five
     * runs beside a long prompt.
     */
    private void learn() {
        recordAnswers(number -> number % 5 == 0 ? 7 : 2);
    }

    private void recordAnswers(IntToDoubleFunction pauseRatio) {
        for (int number = 0; number < 60; number++) {
            for (UpstreamLoad load : List.of(fast, slow)) {
                long promptTokens = 500 + number * 60;
                Object request = new Object();
                load.recordSent(request, promptTokens, 0);
                double firstMillis = load.eventMillis() * (1 + promptTokens * READING_EVENTS);
                load.recordFirstByte(request, promptTokens, Math.round(firstMillis), 0);
                load.recordEnd(request);
                upstreams
                        .pauses()
                        .recordStream(load, Math.round(load.eventMillis() * pauseRatio.applyAsDouble(number)));
            }
        }
    }

    private static List<Object> fill(UpstreamLoad load, int count) {
        List<Object> streams = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            Object stream = new Object();
            streams.add(stream);
            load.recordSent(stream, 0, 0);
            load.recordFirstByte(stream, 0, Math.round(load.eventMillis()), 0);
        }
        return streams;
    }

    private Optional<String> choose(QueuedRequest queued, long now) {
        return upstreams.choose(queued, 0, now).map(load -> load.upstream().id());
    }

    @Nested
    class WithAFullFastEngine {
        @BeforeEach
        void fillFastEngine() {
            learn();
            fill(fast, SLOTS);
        }

        /** Guards against a long prompt that makes the streams at a slow engine pause. */
        @Test
        void aLongPromptWaitsForAFastSlotWhileItCan() {
            fill(slow, 1);
            QueuedRequest queued = request(LONG_PROMPT, ALLOWED_PAUSE);
            assertThat(choose(queued, NOW)).isEmpty();
            assertThat(choose(queued, NOW + 100)).isEmpty();
            assertThat(upstreams.pauses().delayed()).isEqualTo(1);
        }

        /** Guards against long prompts that starve while slots are free. */
        @Test
        void aLongPromptGetsASlowSlotAfterItsSelectiveTime() {
            fill(slow, 1);
            QueuedRequest queued = request(LONG_PROMPT, ALLOWED_PAUSE);
            assertThat(choose(queued, queued.selectiveUntil())).contains("slow");
            assertThat(upstreams.pauses().heldUp()).isEqualTo(1);
        }

        /** Guards against slow engines that stay idle although nobody is held up there. */
        @Test
        void aLongPromptGoesToAnEmptySlowEngine() {
            assertThat(choose(request(LONG_PROMPT, ALLOWED_PAUSE), NOW)).contains("slow");
        }

        /** Guards against short prompts that avoid slow engines for no reason. */
        @Test
        void aShortPromptGoesToASlowEngineWithStreams() {
            fill(slow, 1);
            assertThat(choose(request(SHORT_PROMPT, ALLOWED_PAUSE), NOW)).contains("slow");
        }

        /** Guards against several short prompts that together make streams pause as one long prompt does. */
        @Test
        void promptsThatArePendingCountAsWell() {
            fill(slow, 1);
            slow.recordPeerPendingTokens("peer", LONG_PROMPT);
            assertThat(choose(request(SHORT_PROMPT, ALLOWED_PAUSE), NOW)).isEmpty();
        }

        /** Guards against streams of other schedulers that are held up. */
        @Test
        void streamsOfOtherSchedulersCountAsWell() {
            slow.recordPeerInProgress("peer", 1);
            assertThat(choose(request(LONG_PROMPT, ALLOWED_PAUSE), NOW)).isEmpty();
        }

        /** Guards against a request of a route without a limit that holds up streams of a route with one. */
        @Test
        void aPromptOfARouteWithoutALimitWaitsAsWell() {
            fill(slow, 1);
            choose(request(SHORT_PROMPT, ALLOWED_PAUSE), NOW);
            assertThat(choose(request(LONG_PROMPT, 0), NOW)).isEmpty();
        }

        /** Guards against a limit that still applies long after the last request of its route. */
        @Test
        void aLimitIsForgottenWithItsRoute() {
            fill(slow, 1);
            choose(request(SHORT_PROMPT, ALLOWED_PAUSE), NOW);
            long later = NOW + 100_000;
            assertThat(choose(request(LONG_PROMPT, 0, later), later)).contains("slow");
        }

        /** Guards against a stream at an engine whose usual pauses are too long for it. */
        @Test
        void aStreamThatAllowsOnlyShortPausesWaits() {
            assertThat(choose(request(SHORT_PROMPT, 100), NOW)).isEmpty();
        }

        /** Guards against long prompts at the head of the queue that keep shorter ones from the slots they leave. */
        @Test
        void aShortPromptOvertakesLongOnesThatWait() {
            List<Object> streams = fill(slow, SLOTS);
            for (int number = 0; number < 3; number++) {
                assertThat(dispatcher.offer(request(LONG_PROMPT, ALLOWED_PAUSE), NOW))
                        .isInstanceOf(Decision.Queued.class);
            }
            QueuedRequest shortPrompt = request(SHORT_PROMPT, ALLOWED_PAUSE);
            assertThat(dispatcher.offer(shortPrompt, NOW)).isInstanceOf(Decision.Queued.class);
            slow.recordEnd(streams.get(0));
            assertThat(dispatcher.dispatchQueued(NOW + 50)).containsExactly(new Decision.Granted(shortPrompt, slow));
        }
    }

    @Nested
    class WhereAllFastSlotsAreReserved {
        /** Guards against less urgent prompts that hold up streams, as slow slots are all that is left to them. */
        @Test
        void aLongPromptWaitsForASlotAboveTheReserve() {
            learn();
            fill(fast, 2);
            fill(slow, 1);
            assertThat(upstreams.choose(request(LONG_PROMPT, ALLOWED_PAUSE), 0.5, NOW))
                    .isEmpty();
        }
    }

    @Nested
    class WithSlowEnginesOnly {
        /** Guards against a wait that can't help, because streams run at all engines and all are equally slow. */
        @Test
        void aLongPromptDoesNotWait() {
            learn();
            fast.markReplaced();
            fill(slow, 1);
            assertThat(choose(request(LONG_PROMPT, ALLOWED_PAUSE), NOW)).contains("slow");
        }
    }

    @Nested
    class WithoutKnowledge {
        /** Guards against a scheduler that has just started and refuses slots by times that it doesn't know. */
        @Test
        void aLongPromptGoesToASlowEngine() {
            fill(fast, SLOTS);
            fill(slow, 1);
            assertThat(choose(request(LONG_PROMPT, ALLOWED_PAUSE), NOW)).contains("slow");
            assertThat(upstreams.pauses().maxRatio()).isZero();
        }

        /** Guards against reports of an older build, which state no pauses, that count as streams without pauses. */
        @Test
        void reportsWithoutAPauseTeachNothing() {
            for (int number = 0; number < 100; number++) {
                upstreams.pauses().recordStream(slow, 0);
            }
            assertThat(upstreams.pauses().maxRatio()).isZero();
        }
    }

    @Nested
    class WithoutLimits {
        /** Guards against other decisions where no route limits pauses. */
        @Test
        void decisionsAreThoseOfAPoolThatKnowsNoPauses() {
            learn();
            StreamPausesTest unaware = new StreamPausesTest();
            unaware.list();
            unaware.recordAnswers(number -> 0);
            Random random = new Random(20_265);
            for (int number = 0; number < 500; number++) {
                long promptTokens = random.nextInt(8_000);
                long now = NOW + random.nextInt(4_000);
                Optional<String> chosen = choose(request(promptTokens, 0), now);
                assertThat(chosen).isEqualTo(unaware.choose(request(promptTokens, 0), now));
                boolean isSent = random.nextBoolean();
                send(chosen.filter(id -> isSent), promptTokens, now);
                unaware.send(chosen.filter(id -> isSent), promptTokens, now);
            }
            assertThat(upstreams.pauses().delayed() + upstreams.pauses().heldUp())
                    .isZero();
        }
    }

    /** Sends a request to an upstream and ends the oldest one if there are many. */
    private void send(Optional<String> id, long promptTokens, long now) {
        id.ifPresent(known -> {
            Object stream = new Object();
            sent.add(stream);
            load(known).recordSent(stream, promptTokens, now);
            load(known)
                    .recordFirstByte(
                            stream, promptTokens, Math.round(load(known).eventMillis() * 3), now);
            if (sent.size() > SLOTS + 2) {
                load(known).recordEnd(sent.poll());
            }
        });
    }
}
