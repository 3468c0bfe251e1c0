package org.radishspur.decision.crash;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashLedgerTest {
    private static final long REQUEST = 0x1234_5678_9abcL;
    private static final RequestSignatures SIGNATURES = new RequestSignatures(REQUEST, List.of());
    private static final int POOL = 7;
    private static final long NOW = 1_000_000;

    private static CrashLedger ledgerWithCrashes(int count) {
        CrashLedger ledger = new CrashLedger();
        for (int upstream = 0; upstream < count; upstream++) {
            recordCrash(ledger, REQUEST, upstream, NOW + upstream);
        }
        return ledger;
    }

    private static void recordCrash(CrashLedger ledger, long signature, int upstream, long now) {
        ledger.recordCrash(signature, true, upstream, false, POOL, now);
    }

    private static boolean isRefused(CrashLedger ledger, long now) {
        return new CrashGuard(ledger, 1).admit(SIGNATURES, now).isRefused();
    }

    @Nested
    class Refusal {
        @Test
        void beginsWithTheThirdEndedUpstream() {
            assertThat(isRefused(ledgerWithCrashes(2), NOW + 2)).isFalse();
            assertThat(isRefused(ledgerWithCrashes(3), NOW + 2)).isTrue();
        }

        /** Guards against one end that counts several times because several entries report it. */
        @Test
        void countsEachEndedUpstreamOnce() {
            CrashLedger ledger = ledgerWithCrashes(2);
            recordCrash(ledger, REQUEST, 1, NOW + 3);
            ledger.merge(List.of(new CrashNote(REQUEST, 1, false, 0, false, POOL, true)), NOW + 4);
            assertThat(isRefused(ledger, NOW + 5)).isFalse();
        }

        /** Guards against ends that aren't counted because an upstream starts again under the id that it had. */
        @Test
        void countsAnUpstreamAgainThatWasStartedAgain() {
            CrashLedger ledger = new CrashLedger();
            CrashLedger other = new CrashLedger();
            for (int end = 0; end < 3; end++) {
                recordCrash(ledger, REQUEST, 5, NOW + end * 4_000);
                other.merge(ledger.strongestNotes(NOW + end * 4_000 + 40), NOW + end * 4_000 + 40);
                recordCrash(other, REQUEST, 5, NOW + end * 4_000 + 50);
                ledger.merge(other.strongestNotes(NOW + end * 4_000 + 90), NOW + end * 4_000 + 90);
                assertThat(isRefused(ledger, NOW + end * 4_000 + 90)).isEqualTo(end == 2);
            }
        }

        /** Guards against a request that stays refused after the upstreams were fixed. */
        @Test
        void endsWhenItsCrashesAreOld() {
            CrashGuard guard = new CrashGuard(ledgerWithCrashes(3), 1);
            long millis = guard.admit(SIGNATURES, NOW + 2).retryAfterMillis();
            assertThat(millis).isBetween(1L, 600_000L);
            assertThat(guard.admit(SIGNATURES, NOW + 2 + millis).isRefused()).isFalse();
            CrashLedger ledger = ledgerWithCrashes(3);
            long expired = NOW + 3 + CrashLedger.RETENTION_MILLIS;
            ledger.removeExpired(expired);
            assertThat(ledger.history(REQUEST)).isEmpty();
        }

        /** Guards against frequent sound requests that are refused because some were in flight at each end. */
        @Test
        void doesNotApplyToARequestThatWasAnsweredSince() {
            CrashLedger ledger = ledgerWithCrashes(2);
            assertThat(ledger.recordCompletion(REQUEST)).isTrue();
            recordCrash(ledger, REQUEST, 7, NOW + 10);
            assertThat(isRefused(ledger, NOW + 11)).isFalse();
        }

        /** Guards against evidence that is used up by other requests that were in flight. */
        @Test
        void appliesToOneOfManyRequestsThatWereInFlight() {
            CrashLedger ledger = new CrashLedger();
            for (int upstream = 0; upstream < 3; upstream++) {
                recordCrash(ledger, REQUEST, upstream, NOW);
                for (int other = 0; other < CrashLedger.MAX_SIGNATURES / 4; other++) {
                    recordCrash(ledger, other * 10L + upstream, upstream, NOW);
                }
            }
            assertThat(isRefused(ledger, NOW)).isTrue();
            assertThat(new CrashGuard(ledger, 1)
                            .admit(new RequestSignatures(10, List.of()), NOW)
                            .isRefused())
                    .isFalse();
        }

        /** Guards against a suspect that a caller pushes out of a full ledger with parts that he invents. */
        @Test
        void outlastsManyOtherSignatures() {
            CrashLedger ledger = ledgerWithCrashes(3);
            for (int other = 0; other < 3 * CrashLedger.MAX_SIGNATURES; other++) {
                recordCrash(ledger, other, 100 + other / 500, NOW + 10);
            }
            assertThat(isRefused(ledger, NOW + 11)).isTrue();
            assertThat(ledger.histories()).hasSizeLessThanOrEqualTo(CrashLedger.MAX_SIGNATURES);
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
            later.merge(origin.strongestNotes(received), received);
            assertThat(later.history(REQUEST).orElseThrow().openEnds().get(0).endedAt())
                    .isEqualTo(NOW);
            later.removeExpired(received + 20);
            assertThat(later.history(REQUEST)).isEmpty();
        }

        /** Guards against a process that starts and gets notes on everything but the suspect. */
        @Test
        void sendsTheSignaturesWithMostEndsFirst() {
            CrashLedger ledger = ledgerWithCrashes(3);
            for (int other = 0; other < 2 * CrashLedger.MAX_NOTES_PER_MESSAGE; other++) {
                recordCrash(ledger, other, 100, NOW + 10);
            }
            CrashLedger started = new CrashLedger();
            started.merge(ledger.strongestNotes(NOW + 20), NOW + 20);
            assertThat(isRefused(started, NOW + 20)).isTrue();
        }

        /** Guards against memory and messages that grow with the number of requests in flight at crashes. */
        @Test
        void isBounded() {
            CrashLedger ledger = new CrashLedger();
            for (int number = 0; number < 10 * CrashLedger.MAX_SIGNATURES; number++) {
                recordCrash(ledger, number, number % 50, NOW);
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
            assertThat(notes)
                    .isEqualTo(ledger.histories().size())
                    .isBetween(CrashLedger.MAX_SIGNATURES / 2, CrashLedger.MAX_SIGNATURES);
            assertThat(ledger.strongestNotes(NOW)).hasSize(CrashLedger.MAX_NOTES_PER_MESSAGE);
        }
    }
}
