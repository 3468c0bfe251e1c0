package org.radishspur.node.entry;

import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.node.entry.EntryFixture.FakeExchange;
import org.radishspur.node.entry.EntryFixture.ReceivedResponse;
import org.radishspur.node.fleet.FleetMessage.UpstreamReach;
import org.radishspur.node.fleet.Moment;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamAttemptTest {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

    @Nested
    class ResumedStream {
        private EntryFixture streamBrokenAfterFirstEvent() {
            EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 2);
            entry.request();
            entry.exchange(0).sendHead(200);
            entry.exchange(0).sendBody(FIRST_EVENT);
            entry.exchange(0).loseConnection();
            return entry;
        }

        @Test
        void continuesAfterTheLastCompleteEvent() {
            try (EntryFixture entry = streamBrokenAfterFirstEvent()) {
                entry.exchange(1).sendHead(200);
                entry.exchange(1).sendBody(SECOND_EVENT);
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, FIRST_EVENT + SECOND_EVENT, true));
            }
        }

        /** Guards against a truncated stream that looks complete because an error text ends it. */
        @ParameterizedTest
        @ValueSource(ints = {500, 400})
        void abortsWhenTheSecondUpstreamRespondsWithAFailure(int status) {
            try (EntryFixture entry = streamBrokenAfterFirstEvent()) {
                entry.exchange(1).sendHead(status);
                entry.exchange(1).sendBody("an error");
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, FIRST_EVENT, false));
                assertThat(entry.isCallerConnected()).isFalse();
            }
        }

        @Test
        void abortsWhenTheSecondConnectionIsLostToo() {
            try (EntryFixture entry = streamBrokenAfterFirstEvent()) {
                entry.exchange(1).loseConnection();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, FIRST_EVENT, false));
                assertThat(entry.isCallerConnected()).isFalse();
            }
        }
    }

    @Nested
    class PauseOfThisProcess {
        /** Longer than the silence after which an upstream that has never answered seems to hang, in milliseconds. */
        private static final long PAUSE_MILLIS = 1_600;

        private static final long CHECK_MILLIS = 60;

        private EntryFixture afterPause() {
            EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 2);
            entry.request();
            entry.exchange(0);
            entry.checkAfter(PAUSE_MILLIS);
            return entry;
        }

        /** Guards against requests that are given up because their responses came during a pause and are still unread. */
        @Test
        void isNoSilenceOfTheUpstream() {
            try (EntryFixture entry = afterPause()) {
                entry.exchange(0).sendHead(200);
                entry.exchange(0).sendBody("answer");
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "answer", true));
                assertThat(entry.exchanges()).isEqualTo(1);
            }
        }

        /** Guards against an upstream that hangs and isn't noticed because this process was paused before. */
        @Test
        void hidesASilenceThatGoesOnForOneCheckOnly() {
            try (EntryFixture entry = afterPause()) {
                entry.checkAfter(PAUSE_MILLIS + CHECK_MILLIS);
                assertThat(entry.exchanges()).isEqualTo(2);
            }
        }
    }

    @Nested
    class EndedUpstream {
        private EntryFixture afterEnds(int ends) {
            EntryFixture entry = new EntryFixture(RequestKind.STREAM, false, 4);
            for (int end = 0; end < ends; end++) {
                entry.request();
                entry.endUpstream(end);
                entry.received();
            }
            return entry;
        }

        /** Guards against a good version that is rolled back because requests end its upstreams. */
        @Test
        void countsAgainstItsVersionUnlessARequestExplainsIt() {
            try (EntryFixture entry = afterEnds(2)) {
                assertThat(entry.versionFailures()).isZero();
                entry.elapse(2_000);
                assertThat(entry.versionFailures()).isEqualTo(2);
            }
            try (EntryFixture entry = afterEnds(3)) {
                entry.elapse(2_000);
                assertThat(entry.versionFailures()).isZero();
            }
        }

        /** Guards against requests that are sent to the next upstream after those like them have ended several. */
        @Test
        void letsNoOtherUpstreamRunTheSameRequest() {
            try (EntryFixture entry = afterEnds(3)) {
                entry.request();
                assertThat(entry.received().status()).isEqualTo(503);
                assertThat(entry.exchanges()).isEqualTo(3);
            }
        }
    }

    @Nested
    class StreamWithoutFraming {
        private static final String EVENT_STREAM = "text/event-stream";
        private static final String PARTIAL_EVENT = "id: 2\nda";

        private EntryFixture streamOf(boolean resumable, String contentType, String body) {
            EntryFixture entry = new EntryFixture(RequestKind.STREAM, resumable, 2);
            entry.request();
            entry.exchange(0).sendHead(200, contentType);
            entry.exchange(0).sendBody(body);
            entry.exchange(0).completeByClose();
            return entry;
        }

        /** Guards against a stream that an upstream broke off inside an event and that its caller gets as complete. */
        @Test
        void isBrokenOffInsideAnEvent() {
            try (EntryFixture entry = streamOf(false, EVENT_STREAM, FIRST_EVENT + PARTIAL_EVENT)) {
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, FIRST_EVENT + PARTIAL_EVENT, false));
                assertThat(entry.isCallerConnected()).isFalse();
            }
        }

        /** Guards against a request that ends its upstreams and is never suspected, because its streams seem whole. */
        @Test
        void letsItsUpstreamBeCheckedWhenItIsBrokenOff() {
            try (EntryFixture entry = streamOf(false, EVENT_STREAM, FIRST_EVENT + PARTIAL_EVENT)) {
                assertThat(entry.checks()).isEqualTo(1);
            }
        }

        /** Guards against a bad version whose broken streams count as answers. */
        @Test
        void countsAsAFailureOfTheVersionWhenItIsBrokenOff() {
            try (EntryFixture entry = streamOf(false, EVENT_STREAM, FIRST_EVENT + PARTIAL_EVENT)) {
                assertThat(entry.versionFailures()).isEqualTo(1);
            }
            try (EntryFixture entry = streamOf(false, EVENT_STREAM, FIRST_EVENT)) {
                assertThat(entry.versionFailures()).isZero();
            }
        }

        /** Guards against a resumable stream that is given up where another upstream could go on with it. */
        @Test
        void isResumedWhenItIsBrokenOff() {
            try (EntryFixture entry = streamOf(true, EVENT_STREAM, FIRST_EVENT + PARTIAL_EVENT)) {
                entry.exchange(1).sendHead(200, EVENT_STREAM);
                entry.exchange(1).sendBody(SECOND_EVENT);
                entry.exchange(1).completeByClose();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, FIRST_EVENT + SECOND_EVENT, true));
            }
        }

        /** Guards against a resumed stream that looks complete although it is broken off a second time. */
        @Test
        void abortsWhenItIsBrokenOffTwice() {
            try (EntryFixture entry = streamOf(true, EVENT_STREAM, FIRST_EVENT + PARTIAL_EVENT)) {
                entry.exchange(1).sendHead(200, EVENT_STREAM);
                entry.exchange(1).sendBody(PARTIAL_EVENT);
                entry.exchange(1).completeByClose();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, FIRST_EVENT, false));
                assertThat(entry.isCallerConnected()).isFalse();
            }
        }

        /** Guards against complete streams that count as broken. */
        @ParameterizedTest
        @ValueSource(strings = {"", "\n", ": comment\n", "retry: 100\n", "  "})
        void isCompleteBetweenEvents(String rest) {
            for (boolean resumable : new boolean[] {false, true}) {
                try (EntryFixture entry = streamOf(resumable, EVENT_STREAM, FIRST_EVENT + rest)) {
                    assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, FIRST_EVENT + rest, true));
                }
            }
        }

        /** Guards against responses without events that count as broken streams. */
        @Test
        void isCompleteWhereItIsNoEventStream() {
            try (EntryFixture entry = streamOf(true, "application/json", "{}")) {
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "{}", true));
            }
        }

        @Test
        void isPassedOnWhereItIsAnError() {
            try (EntryFixture entry = new EntryFixture(RequestKind.STREAM, false, 1)) {
                entry.request();
                entry.exchange(0).sendHead(500, EVENT_STREAM);
                entry.exchange(0).sendBody("an error");
                entry.exchange(0).completeByClose();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(500, "an error", true));
            }
        }
    }

    @Nested
    class DelayedConnection {
        /**
         * Guards against serving a key that was revoked while the process was paused between the grant and the
         * connection.
         */
        @Test
        void sendsNothingWhenTheCatalogueIsNoLongerConfirmed() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 1)) {
                entry.delayConnections();
                entry.request();
                entry.applyView(Set.of(), Moment.LONG_AGO);
                entry.exchange(0).connect();
                assertThat(entry.exchange(0).isRequestSent()).isFalse();
                assertThat(entry.received().status()).isEqualTo(503);
            }
        }

        /** Guards against a request that runs in a failure domain evacuated between the grant and the connection. */
        @Test
        void sendsNothingToAnEvacuatedFailureDomain() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 1)) {
                entry.delayConnections();
                entry.request();
                entry.applyView(Set.of("a"), Moment.now());
                entry.exchange(0).connect();
                assertThat(entry.exchange(0).isRequestSent()).isFalse();
            }
        }
    }

    @Nested
    class SendsOfAThreadThatIsBehind {
        private final EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 1);

        @AfterEach
        void close() {
            entry.close();
        }

        private FakeExchange connectWhileBehind() {
            entry.delayConnections();
            entry.request();
            FakeExchange exchange = entry.exchange(0);
            entry.fallBehind();
            exchange.connect();
            assertThat(exchange.isRequestSent()).isFalse();
            return exchange;
        }

        /** Guards against a request that is sent long after its caller has left, as the close waits to be read. */
        @Test
        void areDroppedWhereTheCallerHasLeft() {
            FakeExchange exchange = connectWhileBehind();
            entry.readClose();
            entry.checkAfter(0);
            assertThat(exchange.isRequestSent()).isFalse();
        }

        /** Guards against a request that waits for good after its thread was behind. */
        @Test
        void followTheNextRead() {
            FakeExchange exchange = connectWhileBehind();
            entry.checkAfter(0);
            assertThat(exchange.isRequestSent()).isTrue();
        }

        /** Guards against the first request after an idle time that waits, as nothing has been read for long. */
        @Test
        void areNotDelayedAfterAnIdleTime() {
            entry.delayConnections();
            entry.fallBehind();
            long requestedAt = EntryServices.now();
            entry.request();
            FakeExchange exchange = entry.exchange(0);
            exchange.connect();
            assertThat(exchange.isRequestSent() || EntryServices.now() - requestedAt > PacedSends.MAX_UNREAD_MILLIS)
                    .isTrue();
        }
    }

    @Nested
    class CutOffEntry {
        private EntryFixture withRequest() {
            EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2);
            entry.request();
            return entry;
        }

        @Test
        void reportsThatItIsCutOff() {
            try (EntryFixture entry = withRequest()) {
                entry.cutOff();
                assertThat(entry.reach()).isEqualTo(UpstreamReach.CUT_OFF);
            }
        }

        /** Guards against a version that is taken back because an entry has lost its own links. */
        @Test
        void countsNoLossAgainstTheVersionOfTheUpstream() {
            try (EntryFixture entry = withRequest()) {
                entry.cutOff();
                entry.exchange(0).loseConnection();
                assertThat(entry.versionFailures()).isZero();
                assertThat(entry.received().status()).isEqualTo(502);
            }
        }

        /** Guards against sound upstreams that are ejected for all because entries that are cut off can't connect. */
        @Test
        void doesNotReportUpstreamsAsUnreachable() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2)) {
                entry.delayConnections();
                entry.request();
                entry.cutOff();
                entry.exchange(0).failToConnect();
                assertThat(entry.unreachable()).isEmpty();
            }
        }

        @Test
        void reportsAnUpstreamAsUnreachableWhileItReachesOthers() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2)) {
                entry.delayConnections();
                entry.request();
                entry.exchange(0).failToConnect();
                assertThat(entry.unreachable()).hasSize(1);
            }
        }

        @Test
        void countsALossWhileItReachesUpstreams() {
            try (EntryFixture entry = withRequest()) {
                entry.exchange(0).loseConnection();
                assertThat(entry.versionFailures()).isEqualTo(1);
            }
        }
    }

    @Nested
    class DiscardedResponse {
        private static final long STALL_MILLIS = 500;
        private static final long LINK_DELAY_MILLIS = 100;

        /** Guards against a connection that nobody reads or closes any more, as its request has ended within a rejection. */
        @Test
        void isNotLeftUnreadWhenItsCallerLeaves() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2)) {
                entry.request();
                entry.exchange(0).sendHead(503);
                entry.disconnectCaller();
                assertThat(entry.exchange(0).isAborted()).isTrue();
            }
        }

        /** Guards against a failure response without end that is read for as long as its upstream sends. */
        @Test
        void isNotReadWithoutEnd() {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 2)) {
                entry.request();
                entry.exchange(0).sendHead(500);
                entry.exchange(1).sendHead(200);
                for (int part = 0; part < 20 && !entry.exchange(0).isAborted(); part++) {
                    entry.exchange(0).sendBody("error".repeat(1_000));
                }
                assertThat(entry.exchange(0).isAborted()).isTrue();
                entry.exchange(1).sendBody("done");
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "done", true));
            }
        }

        /** Guards against a connection that is left open for ever, as the rest of its failure response never comes. */
        @Test
        void isNotAwaitedAfterItsRequestHasEnded() {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 2)) {
                entry.request();
                entry.exchange(0).sendHead(500);
                entry.exchange(1).sendHead(200);
                entry.exchange(1).sendBody("done");
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "done", true));
                assertThat(entry.exchange(0).isAborted()).isTrue();
            }
        }

        /** Guards against a request that isn't sent again until its deadline, as the rest of its rejection doesn't come. */
        @Test
        void isNotAwaitedWhereItStalls() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2)) {
                entry.request();
                entry.exchange(0).sendHead(503);
                entry.exchange(0).sendBody("fu");
                entry.checkSilenceAfter(STALL_MILLIS);
                assertThat(entry.exchange(0).isAborted()).isTrue();
                entry.exchange(1).sendHead(200);
                entry.exchange(1).sendBody("done");
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "done", true));
            }
        }

        /** Guards against a connection that is closed although the rest of a rejection is about to come. */
        @Test
        void isAwaitedForAMoment() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2)) {
                entry.request();
                entry.exchange(0).sendHead(503);
                entry.checkSilenceAfter(LINK_DELAY_MILLIS);
                assertThat(entry.exchange(0).isAborted()).isFalse();
                entry.exchange(0).complete();
                assertThat(entry.exchanges()).isEqualTo(2);
            }
        }

        /** Guards against a request that waits until its deadline for the end of a rejection. */
        @Test
        void endsTheAttemptWhereItHasNoEnd() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 2)) {
                entry.request();
                entry.exchange(0).sendHead(503);
                for (int part = 0; part < 20 && !entry.exchange(0).isAborted(); part++) {
                    entry.exchange(0).sendBody("full".repeat(1_000));
                }
                entry.exchange(1).sendHead(200);
                entry.exchange(1).sendBody("done");
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "done", true));
            }
        }
    }

    @Nested
    class FailureResponse {
        @Test
        void isPassedOnWhenARetryIsNotAllowed() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 1)) {
                entry.request();
                entry.exchange(0).sendHead(500);
                entry.exchange(0).sendBody("internal error");
                entry.exchange(0).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(500, "internal error", true));
            }
        }

        @Test
        void isRetriedOnAnotherUpstreamWhenTheRequestMayBeRepeated() {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 2)) {
                entry.request();
                entry.exchange(0).sendHead(500);
                entry.exchange(1).sendHead(200);
                entry.exchange(1).sendBody("done");
                entry.exchange(1).complete();
                assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "done", true));
            }
        }
    }
}
