package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.model.catalogue.CallerLimits;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.node.entry.EntryFixture.FakeExchange;
import org.radishspur.node.entry.EntryFixture.ReceivedResponse;
import org.radishspur.node.upstream.PacedChannel;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Lets callers and upstreams of one entry read slowly, under a budget for what the entry holds.
 */
class SlowReadersTest {
    private static final long BUDGET = 20_000_000;
    private static final int SLOTS = 4;
    private static final int BODY_BYTES = 2_000_000;
    private static final long DEADLINE_MILLIS = 10_000;
    private static final int EVENT_BYTES = 1_000;
    private static final int OK = 200;
    private static final int REFUSED = 503;

    private static EntryFixture streaming(int upstreams) {
        return new EntryFixture(RequestKind.STREAM, false, upstreams, new HeldBytes(BUDGET, true));
    }

    private static EntryFixture plain(int upstreams) {
        return new EntryFixture(RequestKind.SAFE, false, upstreams, new HeldBytes(BUDGET, true));
    }

    private static String event(int number) {
        String start = "id: " + number + "\ndata: ";
        return start + "x".repeat(EVENT_BYTES - start.length() - 2) + "\n\n";
    }

    /** Sends events as long as the entry reads them, and returns how many it has read. */
    private static int sendEvents(FakeExchange upstream, int first, int last) {
        for (int number = first; number <= last; number++) {
            int reads = upstream.reads();
            upstream.sendBody(event(number));
            if (upstream.reads() == reads) {
                return number;
            }
        }
        return last;
    }

    private static String events(int count) {
        StringBuilder text = new StringBuilder();
        for (int number = 1; number <= count; number++) {
            text.append(event(number));
        }
        return text.toString();
    }

    @Nested
    class SlowCaller {
        private static final int EVENTS = 200;

        private EntryFixture withSlowCaller(int upstreams) {
            EntryFixture entry = streaming(upstreams);
            entry.caller().stopTaking();
            entry.request();
            entry.exchange(0).sendHead(OK);
            return entry;
        }

        /** Guards against a slot that stays taken while the caller of a complete response reads it slowly. */
        @Test
        void doesNotKeepTheSlotOfAnUpstreamThatHasSentEverything() {
            try (EntryFixture entry = streaming(1)) {
                entry.caller().stopTaking();
                for (int number = 0; number < SLOTS; number++) {
                    PacedChannel slow = entry.connectOther();
                    slow.stopTaking();
                    entry.request(slow);
                    entry.exchange(number).sendHead(OK);
                    assertThat(sendEvents(entry.exchange(number), 1, EVENTS)).isEqualTo(EVENTS);
                    entry.exchange(number).complete();
                }
                entry.request(entry.connectOther());
                assertThat(entry.exchange(SLOTS).isRequestSent()).isTrue();
            }
        }

        @Test
        void getsTheWholeResponseAtItsOwnSpeed() {
            try (EntryFixture entry = withSlowCaller(1)) {
                sendEvents(entry.exchange(0), 1, EVENTS);
                entry.exchange(0).complete();
                StringBuilder text = new StringBuilder();
                for (int taken = 0; taken < EVENTS; taken++) {
                    entry.caller().take(EVENT_BYTES);
                    text.append(entry.received().body());
                }
                entry.caller().take(1);
                assertThat(text.toString().equals(events(EVENTS))).isTrue();
                assertThat(entry.isCallerConnected()).isTrue();
                assertThat(entry.held().total()).isZero();
            }
        }

        /** Guards against one caller that takes much of the budget. */
        @Test
        void isReadAheadForToABoundAndAgainOnceItHasTakenSome() {
            try (EntryFixture entry = withSlowCaller(1)) {
                int sent = sendEvents(entry.exchange(0), 1, 2_000);
                assertThat(sent * EVENT_BYTES)
                        .isBetween(CallerBacklog.MAX_BYTES / 2, CallerBacklog.MAX_BYTES + EVENT_BYTES);
                assertThat(entry.count("memory.paused.responses")).isEqualTo(1);
                int reads = entry.exchange(0).reads();
                entry.caller().take(10 * EVENT_BYTES);
                assertThat(entry.exchange(0).reads()).isGreaterThan(reads);
            }
        }

        /** Guards against the pause of a caller that counts as silence of its upstream. */
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void isNotTakenForASilentUpstream(boolean readOn) {
            try (EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 2, new HeldBytes(BUDGET, true))) {
                entry.caller().stopTaking();
                entry.request();
                entry.exchange(0).sendHead(OK);
                int sent = sendEvents(entry.exchange(0), 1, 2_000);
                if (readOn) {
                    entry.caller().take(Long.MAX_VALUE);
                    sendEvents(entry.exchange(0), sent + 1, sent + 1);
                }
                entry.checkSilenceAfter(readOn ? 300 : 5_000);
                assertThat(entry.exchanges()).isEqualTo(1);
            }
        }

        /** Guards against memory that is held for a caller who never takes its response. */
        @Test
        void isDisconnectedAtItsDeadline() {
            try (EntryFixture entry = withSlowCaller(1)) {
                sendEvents(entry.exchange(0), 1, EVENTS);
                entry.exchange(0).complete();
                assertThat(entry.held().total()).isPositive();
                entry.elapse(DEADLINE_MILLIS + 1);
                assertThat(entry.isCallerConnected()).isFalse();
                assertThat(entry.held().total()).isZero();
                assertThat(entry.count("answers.unread")).isEqualTo(1);
            }
        }

        /** Guards against a planned stop that cuts off a response which its caller is still reading. */
        @Test
        void countsAsARequestInProgressUntilItHasTakenTheResponse() {
            try (EntryFixture entry = withSlowCaller(1)) {
                sendEvents(entry.exchange(0), 1, EVENTS);
                entry.exchange(0).complete();
                assertThat(entry.inProgress()).isEqualTo(1);
                entry.caller().take(Long.MAX_VALUE);
                assertThat(entry.inProgress()).isZero();
            }
        }

        /** Guards against responses to requests sent one behind the other that add up for one caller. */
        @Test
        void getsTheNextResponseOnItsConnectionAfterItHasTakenTheOneBefore() {
            try (EntryFixture entry = withSlowCaller(1)) {
                sendEvents(entry.exchange(0), 1, EVENTS);
                entry.exchange(0).complete();
                entry.request();
                assertThat(entry.exchanges()).isEqualTo(1);
                entry.caller().take(Long.MAX_VALUE);
                assertThat(entry.exchange(1).isRequestSent()).isTrue();
            }
        }

        @Test
        void stopsTheReadingOfItsUpstreamAsBeforeWhereReadersAreNotSlow() {
            try (EntryFixture entry = new EntryFixture(RequestKind.STREAM, false, 1)) {
                entry.caller().stopTaking();
                entry.request();
                entry.exchange(0).sendHead(OK);
                int watermark = entry.caller().config().getWriteBufferHighWaterMark();
                assertThat(sendEvents(entry.exchange(0), 1, EVENTS) * EVENT_BYTES)
                        .isBetween(watermark / 2, watermark + EVENT_BYTES);
            }
        }

        /** Guards against an upstream that sends an event without end until the entry has no memory. */
        @Test
        void doesNotGetAnEventWithoutEnd() {
            try (EntryFixture entry = withSlowCaller(1)) {
                entry.caller().take(Long.MAX_VALUE);
                for (int part = 0; part * EVENT_BYTES <= CallerBacklog.MAX_BYTES; part++) {
                    entry.exchange(0).sendBody("x".repeat(EVENT_BYTES));
                }
                assertThat(entry.exchange(0).isAborted()).isTrue();
                assertThat(entry.isCallerConnected()).isFalse();
                assertThat(entry.held().total()).isZero();
            }
        }
    }

    @Nested
    class ManySlowCallers {
        private static final int CALLERS = 200;
        private static final int UPSTREAMS = CALLERS / SLOTS + 2;

        /** Guards against slow callers who exhaust the memory, or whose requests hold up those of others. */
        @Test
        void stayWithinTheBudgetAndDoNotDisturbOthers() {
            try (EntryFixture entry = streaming(UPSTREAMS)) {
                for (int number = 0; number < CALLERS; number++) {
                    // The callers take longer than a view stays valid where the machine is busy.
                    entry.confirmView();
                    PacedChannel slow = entry.connectOther();
                    slow.stopTaking();
                    entry.request(slow);
                    entry.exchange(number).sendHead(OK);
                    sendEvents(entry.exchange(number), 1, 1_000);
                    assertThat(entry.held().total()).isLessThanOrEqualTo(BUDGET);
                }
                entry.request();
                entry.exchange(CALLERS).sendHead(OK);
                assertThat(sendEvents(entry.exchange(CALLERS), 1, 100)).isEqualTo(100);
                entry.exchange(CALLERS).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, events(100), true));
            }
        }
    }

    @Nested
    class LargeBodies {
        /** Guards against bodies that exhaust the memory when many are sent at once. */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void areReadWithinTheBudgetAndRefusedTruthfullyBeyondIt(boolean slowReaders) {
            try (EntryFixture entry =
                    new EntryFixture(RequestKind.SAFE, false, 100, new HeldBytes(BUDGET, slowReaders))) {
                List<PacedChannel> callers = new ArrayList<>();
                for (int number = 0; number < 100; number++) {
                    PacedChannel caller = entry.connectOther();
                    entry.sendHead(caller, BODY_BYTES);
                    callers.add(caller);
                }
                callers.forEach(caller -> entry.sendBody(caller, BODY_BYTES));
                entry.runAll();
                assertThat(entry.held().total()).isLessThanOrEqualTo(BUDGET);
                entry.elapse(BodyAdmission.MAX_WAIT_MILLIS + 1);
                entry.runAll();
                int sent = entry.exchanges();
                assertThat(sent).isBetween(5, 7);
                long refused = callers.stream()
                        .map(entry::received)
                        .filter(response -> response.status() == REFUSED
                                && response.body().contains("\"reason\":\"memory\",\"notRun\":true"))
                        .count();
                assertThat(refused).isEqualTo(100 - sent);
            }
        }

        /** Guards against large bodies that keep small requests from being served. */
        @Test
        void leaveRoomForSmallRequests() {
            try (EntryFixture entry = plain(100)) {
                for (int number = 0; number < 40; number++) {
                    entry.sendHead(entry.connectOther(), BODY_BYTES);
                }
                entry.request();
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody("done");
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(OK, "done", true));
            }
        }

        /** Guards against a request that is refused although memory is given back a moment later. */
        @Test
        void waitUnreadUntilMemoryIsGivenBack() {
            try (EntryFixture entry = plain(100)) {
                List<PacedChannel> first = new ArrayList<>();
                for (int number = 0; number < 7; number++) {
                    first.add(entry.connectOther());
                    entry.sendHead(first.get(number), BODY_BYTES);
                }
                PacedChannel next = entry.connectOther();
                entry.sendHead(next, BODY_BYTES);
                assertThat(next.config().isAutoRead()).isFalse();
                assertThat(entry.count("memory.paused.requests")).isEqualTo(1);
                first.get(0).close();
                entry.runAll();
                assertThat(next.config().isAutoRead()).isTrue();
                entry.sendBody(next, BODY_BYTES);
                entry.runAll();
                assertThat(entry.exchange(0).isRequestSent()).isTrue();
            }
        }

        /** Guards against a connection whose next request is taken for the body of a refused one. */
        @Test
        void areDiscardedAfterARefusalSoThatTheNextRequestIsServed() {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 1, new HeldBytes(100_000, true))) {
                PacedChannel caller = entry.connectOther();
                entry.sendHead(caller, BODY_BYTES);
                entry.elapse(BodyAdmission.MAX_WAIT_MILLIS + 1);
                assertThat(entry.received(caller).status()).isEqualTo(REFUSED);
                entry.sendBody(caller, BODY_BYTES);
                entry.request(caller);
                entry.exchange(0).sendHead(OK);
                entry.exchange(0).sendBody("done");
                entry.exchange(0).complete();
                assertThat(entry.received(caller)).isEqualTo(new ReceivedResponse(OK, "done", true));
            }
        }

        /** Guards against a second response to a request when a part of its body is read while the request ends. */
        @Test
        void areDiscardedWhileTheRequestEnds() {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 1, new HeldBytes(100_000, true))) {
                PacedChannel caller = entry.connectOther();
                entry.sendHead(caller, BODY_BYTES);
                int tooMany = (int) CallerLimits.DEFAULTS.maxBodyBytes() + 1;
                caller.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
                    /** {@inheritDoc} */
                    @Override
                    public void read(ChannelHandlerContext context) {
                        context.pipeline().remove(this);
                        caller.pipeline()
                                .fireChannelRead(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[tooMany])));
                    }
                });
                entry.elapse(BodyAdmission.MAX_WAIT_MILLIS + 1);
                List<HttpResponse> heads = caller.outboundMessages().stream()
                        .filter(HttpResponse.class::isInstance)
                        .map(HttpResponse.class::cast)
                        .toList();
                assertThat(heads).extracting(head -> head.status().code()).containsExactly(REFUSED);
            }
        }

        /** Guards against memory that stays reserved for a body which its caller never sends. */
        @Test
        void areNotAwaitedBeyondTheDeadline() {
            try (EntryFixture entry = plain(1)) {
                PacedChannel caller = entry.connectOther();
                entry.sendHead(caller, BODY_BYTES);
                entry.sendBegin(caller, BODY_BYTES / 2);
                assertThat(entry.held().total()).isGreaterThan(BODY_BYTES);
                entry.elapse(DEADLINE_MILLIS + 1);
                assertThat(entry.received(caller).body()).contains("\"reason\":\"expired\",\"notRun\":true");
                assertThat(entry.held().total()).isZero();
            }
        }

        /** Guards against bodies of one entry that pile up at an upstream which reads slowly. */
        @Test
        void doNotPileUpAtOneUpstream() {
            try (EntryFixture entry = plain(1)) {
                entry.setEntryCount(70);
                entry.pileUp(3_000_000);
                entry.requestLarge(entry.connectOther(), BODY_BYTES);
                assertThat(entry.exchanges()).isZero();
                assertThat(entry.count("requests.refused.not-taken")).isEqualTo(1);
                entry.request();
                assertThat(entry.exchange(0).isRequestSent()).isTrue();
            }
        }

        @Test
        void goToAnotherUpstreamThanThatWhereOthersWait() {
            try (EntryFixture entry = plain(2)) {
                entry.setEntryCount(70);
                entry.pileUp(3_000_000);
                entry.requestLarge(entry.connectOther(), BODY_BYTES);
                assertThat(entry.exchange(0).isRequestSent()).isTrue();
            }
        }

        /** Guards against a second copy of a large body that waits for an upstream which doesn't read. */
        @Test
        void areGivenToTheConnectionPieceByPiece() {
            try (EntryFixture entry = plain(1)) {
                entry.requestLarge(entry.connectOther(), BODY_BYTES);
                int firstPiece = entry.exchange(0).sentBytes();
                assertThat(firstPiece).isPositive().isLessThanOrEqualTo(64 << 10);
                entry.exchange(0).takeWritten();
                assertThat(entry.exchange(0).sentBytes()).isEqualTo(2 * firstPiece);
            }
        }

        @Test
        void areNeitherReservedNorRefusedWhereReadersAreNotSlow() {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 10)) {
                for (int number = 0; number < 20; number++) {
                    entry.requestLarge(entry.connectOther(), BODY_BYTES);
                }
                assertThat(entry.exchanges()).isEqualTo(20);
                assertThat(entry.exchange(19).sentBytes()).isEqualTo(BODY_BYTES);
            }
        }
    }

    /** Guards against memory that isn't given back after some order of failures, so that the entry refuses for ever. */
    @Property(tries = 60, seed = "1717")
    void budgetIsGivenBackAfterAnyOrderOfEvents(@ForAll long seed, @ForAll boolean stream) {
        Random random = new Random(seed);
        RequestKind kind = stream ? RequestKind.STREAM : RequestKind.SAFE;
        try (EntryFixture entry = new EntryFixture(kind, stream, 6, new HeldBytes(3_000_000, true))) {
            List<PacedChannel> callers = new ArrayList<>();
            for (int step = 0; step < 60; step++) {
                runRandomStep(entry, callers, random);
            }
            callers.forEach(PacedChannel::close);
            entry.runAll();
            entry.elapse(DEADLINE_MILLIS + 1);
            entry.runAll();
            assertThat(entry.held().total()).isZero();
            assertThat(entry.inProgress()).isZero();
        }
    }

    private static void runRandomStep(EntryFixture entry, List<PacedChannel> callers, Random random) {
        switch (random.nextInt(10)) {
            case 0, 1 -> {
                PacedChannel caller = entry.connectOther();
                callers.add(caller);
                if (random.nextBoolean()) {
                    caller.stopTaking();
                }
                int bytes = 1 + random.nextInt(random.nextBoolean() ? 1_000 : 1_000_000);
                entry.sendHead(caller, bytes);
                if (random.nextInt(4) == 0) {
                    entry.sendBegin(caller, bytes / 2);
                } else {
                    entry.sendBody(caller, bytes);
                }
            }
            case 2 -> any(callers, random).ifPresent(PacedChannel::close);
            case 3, 4 -> any(callers, random).ifPresent(caller -> caller.take(random.nextInt(100_000)));
            case 5 -> entry.elapse(random.nextInt(500));
            case 6 -> anyOpen(entry, random).ifPresent(FakeExchange::loseConnection);
            case 7 -> anyOpen(entry, random).ifPresent(FakeExchange::finish);
            default ->
                anyOpen(entry, random).ifPresent(upstream -> {
                    upstream.begin(random.nextInt(8) == 0 ? REFUSED : OK);
                    upstream.sendPart(event(1).repeat(1 + random.nextInt(50)));
                });
        }
        entry.runAll();
    }

    private static Optional<PacedChannel> any(List<PacedChannel> callers, Random random) {
        return callers.isEmpty() ? Optional.empty() : Optional.of(callers.get(random.nextInt(callers.size())));
    }

    private static Optional<FakeExchange> anyOpen(EntryFixture entry, Random random) {
        List<FakeExchange> open = entry.openExchanges();
        return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
    }
}
