package org.radishspur.decision.slot;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashLedgerTest {
    private static final long REQUEST = 0x1234_5678_9abcL;
    private static final long NOW = 1_000_000;

    private static CrashLedger ledgerWithCrashes(int count) {
        CrashLedger ledger = new CrashLedger();
        for (int upstream = 0; upstream < count; upstream++) {
            ledger.recordCrash(REQUEST, upstream, NOW + upstream);
        }
        return ledger;
    }

    @Nested
    class Refusal {
        @Test
        void beginsWithTheThirdEndedUpstream() {
            assertThat(ledgerWithCrashes(2).refusedForMillis(REQUEST, NOW + 2)).isZero();
            assertThat(ledgerWithCrashes(3).refusedForMillis(REQUEST, NOW + 2)).isPositive();
        }

        /** Guards against one end that counts several times because several entries report it. */
        @Test
        void countsEachEndedUpstreamOnce() {
            CrashLedger ledger = ledgerWithCrashes(2);
            ledger.recordCrash(REQUEST, 1, NOW + 3);
            ledger.merge(List.of(new CrashNote(REQUEST, 1, false, 0)), NOW + 4);
            assertThat(ledger.refusedForMillis(REQUEST, NOW + 5)).isZero();
        }

        /** Guards against ends that aren't counted because an upstream starts again under the id that it had. */
        @Test
        void countsAnUpstreamAgainThatWasStartedAgain() {
            CrashLedger ledger = new CrashLedger();
            CrashLedger other = new CrashLedger();
            for (int end = 0; end < 3; end++) {
                ledger.recordCrash(REQUEST, 5, NOW + end * 4_000);
                other.merge(ledger.latestNotes(NOW + end * 4_000 + 40), NOW + end * 4_000 + 40);
                other.recordCrash(REQUEST, 5, NOW + end * 4_000 + 50);
                ledger.merge(other.latestNotes(NOW + end * 4_000 + 90), NOW + end * 4_000 + 90);
                assertThat(ledger.refusedForMillis(REQUEST, NOW + end * 4_000 + 90) > 0)
                        .isEqualTo(end == 2);
            }
        }

        /** Guards against a request that stays refused after the upstreams were fixed. */
        @Test
        void endsWhenItsCrashesAreOld() {
            CrashLedger ledger = ledgerWithCrashes(3);
            long millis = ledger.refusedForMillis(REQUEST, NOW + 2);
            assertThat(millis).isLessThanOrEqualTo(CrashLedger.RETENTION_MILLIS);
            assertThat(ledger.refusedForMillis(REQUEST, NOW + 2 + millis)).isZero();
        }

        /** Guards against frequent sound requests that are refused because some were in flight at each end. */
        @Test
        void doesNotApplyToARequestThatWasAnsweredSince() {
            CrashLedger ledger = ledgerWithCrashes(2);
            assertThat(ledger.recordCompletion(REQUEST)).isTrue();
            ledger.recordCrash(REQUEST, 7, NOW + 10);
            assertThat(ledger.refusedForMillis(REQUEST, NOW + 11)).isZero();
        }

        /** Guards against evidence that is used up by other requests that were in flight. */
        @Test
        void appliesToOneOfManyRequestsThatWereInFlight() {
            CrashLedger ledger = new CrashLedger();
            for (int upstream = 0; upstream < 3; upstream++) {
                ledger.recordCrash(REQUEST, upstream, NOW);
                for (int other = 0; other < CrashLedger.MAX_REQUESTS / 4; other++) {
                    ledger.recordCrash(other * 10L + upstream, upstream, NOW);
                }
            }
            assertThat(ledger.refusedForMillis(REQUEST, NOW)).isPositive();
            assertThat(ledger.refusedForMillis(10, NOW)).isZero();
        }
    }

    @Nested
    class Exchange {
        /** Guards against an old note that renews a refusal whenever a process receives it for the first time. */
        @Test
        void keepsTheAgeOfACrash() {
            CrashLedger origin = ledgerWithCrashes(3);
            CrashLedger later = new CrashLedger();
            long received = NOW + CrashLedger.RETENTION_MILLIS - 10;
            later.merge(origin.latestNotes(received), received);
            assertThat(later.refusedForMillis(REQUEST, received)).isBetween(1L, 10L);
            assertThat(later.refusedForMillis(REQUEST, received + 20)).isZero();
        }

        /** Guards against memory and messages that grow with the number of requests in flight at crashes. */
        @Test
        void isBounded() {
            CrashLedger ledger = new CrashLedger();
            for (int number = 0; number < 10 * CrashLedger.MAX_REQUESTS; number++) {
                ledger.recordCrash(number, number % 50, NOW);
            }
            long position = 0;
            int notes = 0;
            for (CrashLedger.Changes changes = ledger.changesSince(position, NOW);
                    !changes.notes().isEmpty();
                    changes = ledger.changesSince(position, NOW)) {
                assertThat(changes.notes()).hasSizeLessThanOrEqualTo(CrashLedger.MAX_NOTES_PER_MESSAGE);
                notes += changes.notes().size();
                position = changes.position();
            }
            assertThat(notes).isEqualTo(CrashLedger.MAX_REQUESTS);
            assertThat(ledger.latestNotes(NOW)).hasSize(CrashLedger.MAX_NOTES_PER_MESSAGE);
        }
    }
}
