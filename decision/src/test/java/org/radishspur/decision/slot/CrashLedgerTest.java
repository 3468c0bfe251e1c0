package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
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
        /**
         * Guards against processes that disagree because notes were lost with a connection, came twice, late or in
         * another order: each ledger sends what changed to some others, positions are forgotten at random.
         */
        @Property(tries = 100, seed = "47")
        void makesAllLedgersAgree(
                @ForAll @IntRange(min = 2, max = 12) int processes,
                @ForAll @IntRange(min = 1, max = 30) int crashes,
                @ForAll long seed) {
            Random random = new Random(seed);
            List<CrashLedger> ledgers = new ArrayList<>();
            for (int process = 0; process < processes; process++) {
                ledgers.add(new CrashLedger());
            }
            long[][] positions = new long[processes][processes];
            for (int crash = 0; crash < crashes; crash++) {
                CrashLedger ledger = ledgers.get(random.nextInt(processes));
                ledger.recordCrash(random.nextInt(4), random.nextInt(5), NOW + crash);
                if (random.nextInt(6) == 0) {
                    ledgers.get(random.nextInt(processes)).recordCompletion(random.nextInt(4));
                }
                int from = random.nextInt(processes);
                int to = random.nextInt(processes);
                boolean lost = random.nextInt(4) == 0;
                if (lost) {
                    positions[from][to] = 0;
                } else {
                    positions[from][to] = exchange(ledgers.get(from), ledgers.get(to), positions[from][to]);
                }
            }
            for (int round = 0; round < processes; round++) {
                for (int from = 0; from < processes; from++) {
                    int to = (from + 1) % processes;
                    positions[from][to] = exchange(ledgers.get(from), ledgers.get(to), positions[from][to]);
                }
            }
            for (long request = 0; request < 4; request++) {
                long first = ledgers.get(0).refusedForMillis(request, NOW + crashes);
                for (CrashLedger ledger : ledgers) {
                    assertThat(ledger.refusedForMillis(request, NOW + crashes) > 0)
                            .isEqualTo(first > 0);
                }
            }
        }

        private long exchange(CrashLedger from, CrashLedger to, long position) {
            CrashLedger.Changes changes = from.changesSince(position, NOW + 40);
            List<CrashNote> shuffled = new ArrayList<>(changes.notes());
            Collections.shuffle(shuffled, new Random(position));
            to.merge(shuffled, NOW + 40);
            to.merge(shuffled, NOW + 40);
            return changes.position();
        }

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
