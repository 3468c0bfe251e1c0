package org.radishspur.node.entry;

import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.node.entry.EntryFixture.CallerView;
import org.radishspur.node.fleet.Moment;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamAttemptTest {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

    @Nested
    class StreamTakenUpElsewhere {
        private EntryFixture broken() {
            EntryFixture entry = new EntryFixture(RequestKind.STREAM, true, 2);
            entry.request();
            entry.exchange(0).answersHead(200);
            entry.exchange(0).answersBody(FIRST_EVENT);
            entry.exchange(0).breaks();
            return entry;
        }

        @Test
        void goesOnBehindTheLastWholeEvent() {
            try (EntryFixture entry = broken()) {
                entry.exchange(1).answersHead(200);
                entry.exchange(1).answersBody(SECOND_EVENT);
                entry.exchange(1).ends();
                assertThat(entry.received()).isEqualTo(new CallerView(200, FIRST_EVENT + SECOND_EVENT, true));
            }
        }

        /** Guards against a short answer that looks complete, with the text of an error behind it. */
        @ParameterizedTest
        @ValueSource(ints = {500, 400})
        void breaksOffWhereTheSecondUpstreamAnswersWithAFailure(int status) {
            try (EntryFixture entry = broken()) {
                entry.exchange(1).answersHead(status);
                entry.exchange(1).answersBody("an error");
                entry.exchange(1).ends();
                assertThat(entry.received()).isEqualTo(new CallerView(200, FIRST_EVENT, false));
                assertThat(entry.isCallerConnected()).isFalse();
            }
        }

        @Test
        void breaksOffWhereTheSecondUpstreamBreaksToo() {
            try (EntryFixture entry = broken()) {
                entry.exchange(1).breaks();
                assertThat(entry.received()).isEqualTo(new CallerView(200, FIRST_EVENT, false));
                assertThat(entry.isCallerConnected()).isFalse();
            }
        }
    }

    @Nested
    class ConnectionMadeAfterAPause {
        /** Guards against a key that was revoked while the process stood still between the grant and the connection. */
        @Test
        void carriesNothingWhereTheCatalogueIsNoLongerConfirmed() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 1)) {
                entry.holdConnections();
                entry.request();
                entry.view(Set.of(), Moment.LONG_AGO);
                entry.exchange(0).connects();
                assertThat(entry.exchange(0).isSent()).isFalse();
                assertThat(entry.received().status()).isEqualTo(503);
            }
        }

        /** Guards against a request that runs in a failure domain which was evacuated in the meantime. */
        @Test
        void carriesNothingIntoAnEvacuatedFailureDomain() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 1)) {
                entry.holdConnections();
                entry.request();
                entry.view(Set.of("a"), Moment.now());
                entry.exchange(0).connects();
                assertThat(entry.exchange(0).isSent()).isFalse();
            }
        }
    }

    @Nested
    class Failure {
        @Test
        void ofAnUpstreamIsPassedOnWhereNothingElseMayBeTried() {
            try (EntryFixture entry = new EntryFixture(RequestKind.UNSAFE, false, 1)) {
                entry.request();
                entry.exchange(0).answersHead(500);
                entry.exchange(0).answersBody("internal error");
                entry.exchange(0).ends();
                assertThat(entry.received()).isEqualTo(new CallerView(500, "internal error", true));
            }
        }

        @Test
        void ofOneUpstreamIsTriedElsewhereWhereARequestMayBeRepeated() {
            try (EntryFixture entry = new EntryFixture(RequestKind.SAFE, false, 2)) {
                entry.request();
                entry.exchange(0).answersHead(500);
                entry.exchange(1).answersHead(200);
                entry.exchange(1).answersBody("done");
                entry.exchange(1).ends();
                assertThat(entry.received()).isEqualTo(new CallerView(200, "done", true));
            }
        }
    }
}
