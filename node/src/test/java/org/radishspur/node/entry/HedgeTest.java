package org.radishspur.node.entry;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.Tuple.Tuple2;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.node.entry.EntryFixture.FakeExchange;
import org.radishspur.node.entry.EntryFixture.ReceivedResponse;

import static org.assertj.core.api.Assertions.assertThat;

class HedgeTest {
    /** A time after which an upstream that hasn't answered yet counts as silent, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_600;

    private static final int OK = 200;

    private static String event(long id) {
        return "id: " + id + "\ndata: " + id + "\n\n";
    }

    private static String events(long first, long last) {
        return LongStream.rangeClosed(first, last).mapToObj(HedgeTest::event).collect(Collectors.joining());
    }

    private static EntryFixture streamOfSilentUpstream(int upstreams) {
        EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, upstreams);
        entry.request();
        entry.checkSilenceAfter(SILENCE_MILLIS);
        return entry;
    }

    /** The ways in which a second attempt comes to nothing. */
    private enum Failure {
        NO_CONNECTION(FakeExchange::failToConnect),
        NOT_RUN(exchange -> {
            exchange.connect();
            exchange.sendHead(503);
            exchange.complete();
        }),
        FAILED(exchange -> {
            exchange.connect();
            exchange.sendHead(500);
        }),
        REJECTED(exchange -> {
            exchange.connect();
            exchange.sendHead(400);
        }),
        LOST(exchange -> {
            exchange.connect();
            exchange.loseConnection();
        }),
        LOST_AFTER_HEAD(exchange -> {
            exchange.connect();
            exchange.sendHead(OK);
            exchange.loseConnection();
        }),
        LOST_INSIDE_EVENT(exchange -> {
            exchange.connect();
            exchange.sendHead(OK);
            exchange.sendBody("id: 1\nda");
            exchange.loseConnection();
        }),
        SILENT(FakeExchange::connect);

        private final Consumer<FakeExchange> action;

        Failure(Consumer<FakeExchange> action) {
            this.action = action;
        }
    }

    @Nested
    class SilentUpstream {
        /** Guards against a request whose only attempt is given up although its upstream goes on in a moment. */
        @Test
        void keepsItsRequestWhenItGoesOnFirst() {
            try (EntryFixture entry = streamOfSilentUpstream(2)) {
                assertThat(entry.exchanges()).isEqualTo(2);
                assertThat(entry.exchange(0).isAborted()).isFalse();
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
                assertThat(entry.exchange(1).isAborted()).isTrue();
                entry.exchange(0).sendBody(event(2));
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, events(1, 2), true));
            }
        }

        /** Guards against a request that waits until its deadline for an upstream that hangs. */
        @Test
        void losesItsRequestToTheUpstreamThatAnswersFirst() {
            try (EntryFixture entry = streamOfSilentUpstream(2)) {
                entry.exchange(1).sendHead(OK);
                assertThat(entry.exchange(0).isAborted()).isFalse();
                entry.exchange(1).sendBody(event(1));
                assertThat(entry.exchange(0).isAborted()).isTrue();
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
                entry.exchange(1).sendBody(event(2));
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, events(1, 2), true));
            }
        }

        /** Guards against the events of two upstreams under the head, and so the digest, of the wrong one. */
        @Test
        void getsTheHeadOfTheAttemptThatContinues() {
            try (EntryFixture entry = streamOfSilentUpstream(2)) {
                entry.exchange(1).sendHead(201);
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
                assertThat(entry.received().status()).isEqualTo(OK);
            }
        }

        /** Guards against a request that is lost because its second attempt is. */
        @ParameterizedTest
        @EnumSource
        void keepsItsRequestWhenTheSecondAttemptFails(Failure failure) {
            try (EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 2)) {
                entry.request();
                entry.exchange(0);
                entry.delayConnections();
                entry.checkSilenceAfter(SILENCE_MILLIS);
                failure.action.accept(entry.exchange(1));
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(events(1, 2));
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, events(1, 2), true));
            }
        }

        /** Guards against a request that gets no further attempt, as the rest of a rejection of the second doesn't come. */
        @Test
        void isNotLeftAloneByASecondUpstreamWhoseRejectionStalls() {
            try (EntryFixture entry = streamOfSilentUpstream(3)) {
                entry.exchange(1).sendHead(503);
                entry.checkSilenceAfter(2 * SILENCE_MILLIS);
                assertThat(entry.exchange(1).isAborted()).isTrue();
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, event(1), true));
            }
        }

        /** Guards against a request that is lost because no other upstream has a slot. */
        @Test
        void keepsItsRequestWhenThereIsNoOtherUpstream() {
            try (EntryFixture entry = streamOfSilentUpstream(1)) {
                assertThat(entry.exchanges()).isEqualTo(1);
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, event(1), true));
            }
        }

        /** Guards against a storm of second attempts, and against a request that is lost for lack of a budget. */
        @Test
        void keepsItsRequestWhenTheBudgetIsUsedUp() {
            try (EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 3)) {
                entry.request();
                entry.exchange(0);
                entry.checkSilenceAfter(SILENCE_MILLIS);
                entry.exchange(1).loseConnection();
                entry.checkSilenceAfter(2 * SILENCE_MILLIS);
                assertThat(entry.exchanges()).isEqualTo(2);
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, event(1), true));
            }
        }

        /** Guards against a second attempt that is made in vain, as the first upstream has gone on meanwhile. */
        @Test
        void takesItsRequestBackBeforeTheSecondAttemptIsSent() {
            try (EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 2)) {
                entry.request();
                entry.exchange(0);
                entry.delayConnections();
                entry.checkSilenceAfter(SILENCE_MILLIS);
                entry.exchange(0).sendHead(OK);
                assertThat(entry.exchange(1).isAborted()).isTrue();
                assertThat(entry.exchange(1).isRequestSent()).isFalse();
            }
        }

        /** Guards against a request that is lost with its first upstream although a second one runs it. */
        @Test
        void leavesItsRequestToTheSecondAttemptWhenItIsLost() {
            try (EntryFixture entry = streamOfSilentUpstream(2)) {
                entry.exchange(0).loseConnection();
                entry.exchange(1).sendHead(OK);
                entry.exchange(1).sendBody(event(1));
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, event(1), true));
            }
        }

        /** Guards against upstreams that work on although the caller has left. */
        @Test
        void isAbortedWithTheSecondOneWhenTheCallerLeaves() {
            try (EntryFixture entry = streamOfSilentUpstream(2)) {
                entry.disconnectCaller();
                assertThat(entry.exchange(0).isAborted()).isTrue();
                assertThat(entry.exchange(1).isAborted()).isTrue();
            }
        }
    }

    /** The ways in which a first attempt ends for certain, so that only a second one can serve the request. */
    private enum End {
        NOT_RUN(exchange -> {
            exchange.sendHead(503);
            exchange.complete();
        }),
        FAILED(exchange -> exchange.sendHead(500)),
        LOST(FakeExchange::loseConnection);

        private final Consumer<FakeExchange> action;

        End(Consumer<FakeExchange> action) {
            this.action = action;
        }
    }

    @Nested
    class SecondAttemptThatIsNotSentYet {
        private EntryFixture whileItConnects() {
            EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 3);
            entry.request();
            entry.exchange(0);
            entry.delayConnections();
            entry.checkSilenceAfter(SILENCE_MILLIS);
            return entry;
        }

        /** Guards against a request that gives up its granted slot, and queues for another, when it needs one for certain. */
        @ParameterizedTest
        @EnumSource
        void isMadeWhenTheFirstOneEnds(End end) {
            try (EntryFixture entry = whileItConnects()) {
                end.action.accept(entry.exchange(0));
                assertThat(entry.exchange(1).isAborted()).isFalse();
                entry.exchange(1).connect();
                entry.exchange(1).sendHead(OK);
                entry.exchange(1).sendBody(event(1));
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, event(1), true));
                assertThat(entry.exchanges()).isEqualTo(2);
            }
        }

        /** Guards against a lost request without a retry because a request that may still go on has reserved it. */
        @Test
        void leavesTheRetryToARequestThatIsLost() {
            try (EntryFixture entry = whileItConnects()) {
                entry.requestAsOther();
                entry.exchange(2).connect();
                entry.exchange(2).loseConnection();
                entry.exchange(0);
                assertThat(entry.exchanges()).isEqualTo(4);
            }
        }
    }

    @Nested
    class SuspectedRequest {
        private EntryFixture atTwoUpstreams(boolean begun) {
            EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 6);
            entry.request();
            entry.exchange(0);
            if (begun) {
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
            }
            entry.cutOff();
            entry.checkSilenceAfter(SILENCE_MILLIS);
            assertThat(entry.exchange(1).isRequestSent()).isTrue();
            return entry;
        }

        /** Guards against a request that ends further upstreams, the second of a request that has begun among them. */
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void isWithdrawnFromTheSecondUpstream(boolean begun) {
            try (EntryFixture entry = atTwoUpstreams(begun)) {
                for (int ended = 2; ended < 5; ended++) {
                    entry.requestAsOther();
                    entry.endUpstream(ended);
                }
                assertThat(entry.exchange(0).isAborted()).isEqualTo(!begun);
                assertThat(entry.exchange(1).isAborted()).isTrue();
            }
        }
    }

    @Nested
    class BrokenPath {
        /** The slots of both upstreams. */
        private static final int ALL_SLOTS = 8;

        private EntryFixture streamBegunOnBrokenPath() {
            EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 2);
            entry.request();
            entry.exchange(0).sendHead(OK);
            entry.exchange(0).sendBody(event(1) + "id: 2\nda");
            entry.cutOff();
            entry.checkSilenceAfter(SILENCE_MILLIS);
            return entry;
        }

        /** Guards against a stream that is cut because silence of all upstreams looks like a cut of this host. */
        @Test
        void keepsTheStreamThatGoesOn() {
            try (EntryFixture entry = streamBegunOnBrokenPath()) {
                entry.exchange(1).loseConnection();
                entry.exchange(0).sendBody("ta: 2\n\n");
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, events(1, 2), true));
            }
        }

        /** Guards against upstreams that get more requests than their slots, as those that go on are no longer counted. */
        @Test
        void takesItsSlotAgainWhenItGoesOn() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2)) {
                for (int request = 0; request < ALL_SLOTS; request++) {
                    entry.requestAsOther();
                }
                entry.cutOff();
                entry.checkSilenceAfter(SILENCE_MILLIS);
                for (int request = 0; request < ALL_SLOTS; request++) {
                    entry.exchange(request).sendHead(OK);
                    entry.exchange(request).sendBody("answer");
                }
                entry.requestAsOther();
                entry.exchange(0);
                assertThat(entry.exchanges()).isEqualTo(ALL_SLOTS);
            }
        }

        /** Guards against an event that comes twice or is missing where another upstream resumes the stream. */
        @Test
        void losesTheStreamToTheUpstreamThatResumesIt() {
            try (EntryFixture entry = streamBegunOnBrokenPath()) {
                assertThat(entry.exchange(1).resumeAfter()).isEqualTo(1);
                entry.exchange(1).sendHead(OK);
                entry.exchange(1).sendBody(event(2));
                entry.exchange(0).sendBody("ta: 2\n\n" + event(3));
                entry.exchange(1).sendBody(event(3));
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, events(1, 3), true));
            }
        }
    }

    @Nested
    class PlainResponse {
        /** Guards against the beginning of one response before the end of another. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1})
        void isThatOfTheAttemptThatIsCompleteFirst(int complete) {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 2)) {
                entry.request();
                entry.exchange(0);
                entry.checkSilenceAfter(SILENCE_MILLIS);
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody("first");
                entry.exchange(1).sendHead(OK);
                entry.exchange(1).sendBody("other");
                entry.exchange(complete).complete();
                String body = List.of("first", "other").get(complete);
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, body, true));
                assertThat(entry.exchange(1 - complete).isAborted()).isTrue();
            }
        }
    }

    @Nested
    class RequestThatMayRunOnce {
        /** Guards against a request that runs twice because its upstream was silent. */
        @ParameterizedTest
        @EnumSource(names = {"STREAM", "UNSAFE"})
        void waitsForItsOnlyAttempt(RequestKind kind) {
            try (EntryFixture entry = new EntryFixture(kind, false, 2)) {
                entry.request();
                entry.exchange(0);
                entry.cutOff();
                entry.checkSilenceAfter(SILENCE_MILLIS);
                assertThat(entry.exchanges()).isEqualTo(1);
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody(event(1));
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, event(1), true));
            }
        }
    }

    /** What happens next in a run of {@link AnyOrder}. */
    private enum Step {
        FIRST_SENDS,
        SECOND_SENDS,
        SILENCE,
        FIRST_LOST,
        SECOND_LOST
    }

    @Group
    class AnyOrder {
        private static final int EVENTS = 4;

        @Provide
        Arbitrary<List<Tuple2<Step, Integer>>> steps() {
            Arbitrary<Step> step = Arbitraries.frequencyOf(
                    Tuple.of(6, Arbitraries.of(Step.FIRST_SENDS, Step.SECOND_SENDS)),
                    Tuple.of(2, Arbitraries.just(Step.SILENCE)),
                    Tuple.of(1, Arbitraries.of(Step.FIRST_LOST, Step.SECOND_LOST)));
            return Combinators.combine(step, Arbitraries.integers().between(1, 40))
                    .as(Tuple::of)
                    .list()
                    .ofMinSize(1)
                    .ofMaxSize(20);
        }

        /** Guards against events that come twice, are missing, or never come, in whatever order two attempts go on. */
        @Property(seed = "62", tries = 2_000)
        void passesEachEventOnOnce(@ForAll("steps") List<Tuple2<Step, Integer>> steps) {
            try (EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 2)) {
                entry.request();
                entry.cutOff();
                Run run = new Run(entry);
                steps.forEach(step -> run.apply(step.get1(), step.get2()));
                run.finish();
                ReceivedResponse received = entry.received();
                if (received.status() == OK) {
                    assertThat(events(1, EVENTS)).startsWith(received.body());
                }
                if (!run.onlyAttemptLost || received.status() == OK && received.complete()) {
                    assertThat(received).isEqualTo(new ReceivedResponse(OK, events(1, EVENTS), true));
                }
            }
        }

        /** Plays the two upstreams of one request. */
        private static final class Run {
            private final EntryFixture entry;
            private final int[] sent = {-1, -1};
            private final boolean[] ended = {false, false};
            private boolean onlyAttemptLost;

            Run(EntryFixture entry) {
                this.entry = entry;
            }

            void apply(Step step, int bytes) {
                switch (step) {
                    case FIRST_SENDS -> send(0, bytes);
                    case SECOND_SENDS -> send(1, bytes);
                    case SILENCE -> entry.checkSilenceAfter(SILENCE_MILLIS);
                    case FIRST_LOST -> lose(0);
                    default -> lose(1);
                }
            }

            void finish() {
                send(0, Integer.MAX_VALUE);
                send(1, Integer.MAX_VALUE);
            }

            private boolean isOpen(int upstream) {
                return upstream < entry.exchanges()
                        && !ended[upstream]
                        && !entry.exchange(upstream).isAborted();
            }

            private void send(int upstream, int bytes) {
                if (!isOpen(upstream)) {
                    return;
                }
                FakeExchange exchange = entry.exchange(upstream);
                if (sent[upstream] < 0) {
                    exchange.sendHead(OK);
                    sent[upstream] = 0;
                }
                String text = events(Math.max(0, exchange.resumeAfter()) + 1, EVENTS);
                int end = (int) Math.min(text.length(), (long) sent[upstream] + bytes);
                exchange.sendBody(text.substring(sent[upstream], end));
                sent[upstream] = end;
                if (end == text.length() && !exchange.isAborted()) {
                    ended[upstream] = true;
                    exchange.complete();
                }
            }

            private void lose(int upstream) {
                if (isOpen(upstream)) {
                    onlyAttemptLost |= !isOpen(1 - upstream);
                    ended[upstream] = true;
                    entry.exchange(upstream).loseConnection();
                }
            }
        }
    }
}
