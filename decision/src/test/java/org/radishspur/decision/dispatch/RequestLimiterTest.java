package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.RequestLimiter.Turns;
import org.radishspur.model.catalogue.RequestLimit;

import static org.assertj.core.api.Assertions.assertThat;

class RequestLimiterTest {
    private static final long TICK_MILLIS = 50;

    @Nested
    class Statement {
        private final RequestLimiter limiter = new RequestLimiter();

        @Test
        void endsWithAResponseWithoutIt() {
            limiter.recordStatement(RequestLimit.ofRate(2), 1_000, 1_000);
            assertThat(limiter.recordStatement(RequestLimit.NONE, 1_600, 1_600)).isTrue();
            assertThat(limiter.allows(1_600)).isTrue();
        }

        /** Guards against a limit that ends because an older response, without it, arrives after a newer one. */
        @Test
        void isKeptWhenResponsesOvertakeEachOther() {
            limiter.recordStatement(RequestLimit.ofRate(2), 1_000, 1_000);
            assertThat(limiter.recordStatement(RequestLimit.NONE, 1_100, 1_100)).isFalse();
            assertThat(limiter.isLimited()).isTrue();
        }

        /** Guards against a limit that returns with the report of a scheduler that has not seen its end. */
        @Test
        void doesNotReturnWithAnOlderReport() {
            limiter.recordStatement(RequestLimit.ofRate(2), 1_000, 1_000);
            limiter.recordStatement(RequestLimit.NONE, 3_000, 3_000);
            assertThat(limiter.recordStatement(RequestLimit.ofRate(2), 2_900, 3_040))
                    .isFalse();
            assertThat(limiter.isLimited()).isFalse();
        }

        @Test
        void mayChange() {
            limiter.recordStatement(RequestLimit.ofRate(2), 1_000, 1_000);
            limiter.recordStatement(RequestLimit.ofRate(30), 2_000, 2_000);
            limiter.recordStatement(RequestLimit.ofRate(2), 1_500, 2_040);
            assertThat(limiter.limit()).isEqualTo(RequestLimit.ofRate(30));
        }

        /** Guards against a limit of nothing, whose end no response would ever show. */
        @Test
        void ofZeroStillLetsARequestThroughAtTimes() {
            limiter.recordStatement(RequestLimit.ofRate(0), 0, 0);
            assertThat(limiter.allows(9_000)).isFalse();
            assertThat(limiter.allows(10_001)).isTrue();
        }
    }

    /** Guards against entries that together exceed a limit while each decides by itself, without a scheduler. */
    @Test
    void processesThatDoNotReportGetAShareEach() {
        int entries = 9;
        double requestsPerSecond = 2;
        List<Long> sentAt = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            RequestLimiter limiter = new RequestLimiter();
            limiter.setTurns(new Turns(0, 1, 1.0 / entries));
            limiter.recordStatement(RequestLimit.ofRate(requestsPerSecond), 0, 0);
            for (long now = 0; now < 40_000; now += TICK_MILLIS) {
                if (limiter.allows(now)) {
                    limiter.recordSent(now);
                    sentAt.add(now);
                }
            }
        }
        assertThat(RequestLimiterPropertyTest.worstPeriod(sentAt))
                .isLessThanOrEqualTo((long) RequestLimiterPropertyTest.maxRequests(requestsPerSecond));
    }

    /** Guards against requests of the time before that are lost when a scheduler falls silent. */
    @Test
    void countsTheTimeBeforeASilenceAtTheWholeLimit() {
        RequestLimiter limiter = new RequestLimiter();
        limiter.recordStatement(RequestLimit.ofRate(10), 0, 0);
        limiter.setReportingShare(0.5, 320);
        int allowed = 0;
        while (limiter.allows(320)) {
            limiter.recordSent(320);
            allowed++;
        }
        assertThat(allowed).isEqualTo(3);
    }
}
