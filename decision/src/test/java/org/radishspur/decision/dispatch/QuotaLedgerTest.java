package org.radishspur.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.OrganisationRule;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaLedgerTest {
    private static OrganisationRule rule(double rate, double burst) {
        return new OrganisationRule("fleet", Set.of("key"), 0, rate, burst, true, 10);
    }

    @Nested
    class AtOneScheduler {
        @Test
        void admitsTheBurstAndThenTheRate() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = rule(1_000, 500);
            assertThat(ledger.tryCharge(rule, 500, false, 0)).isEmpty();
            assertThat(ledger.tryCharge(rule, 100, false, 0)).isPresent();
            assertThat(ledger.tryCharge(rule, 100, false, 100)).isEmpty();
        }

        @Test
        void returnsWhenTheLimitAllowsTheRequest() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = rule(1_000, 500);
            ledger.tryCharge(rule, 700, false, 0);
            assertThat(ledger.tryCharge(rule, 100, false, 0)).hasValue(300L);
        }

        @Test
        void refundsARequestThatDidNotRun() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = rule(1_000, 500);
            ledger.tryCharge(rule, 500, false, 0);
            ledger.refund(rule, 500);
            assertThat(ledger.tryCharge(rule, 100, false, 0)).isEmpty();
        }

        @Test
        void appliesALoweredLimitFromTheNextRequestOn() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            ledger.tryCharge(rule(100_000, 100_000), 1, false, 0);
            ledger.tryCharge(rule(100, 100), 100, false, 1);
            assertThat(ledger.tryCharge(rule(100, 100), 100, false, 1)).isPresent();
        }
    }

    @Nested
    class WithUseThroughOtherSchedulers {
        private static final OrganisationRule SHARE = rule(1_000, 500);

        private final QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);

        /** Guards against a whole burst on top of a limit that has been used up through other schedulers. */
        @Test
        void leavesNoBurstToWhatHasUsedItElsewhere() {
            ledger.recordUseElsewhere(SHARE, 1_500, 500, true, 0);
            assertThat(ledger.tryCharge(SHARE, 100, false, 900)).isPresent();
            assertThat(ledger.tryCharge(SHARE, 100, false, 1_100)).isEmpty();
        }

        @Test
        void leavesTheBurstToWhatStaysBelowTheRate() {
            for (long now = 0; now < 10_000; now += 100) {
                ledger.recordUseElsewhere(SHARE, 100, 500, true, now);
            }
            assertThat(ledger.tryCharge(SHARE, 500, false, 10_000)).isEmpty();
        }

        /** Guards against refusals for many seconds of callers whose requests came through one entry. */
        @Test
        void refusesForTwoSecondsAtMost() {
            ledger.recordUseElsewhere(SHARE, 50_000, 500, true, 0);
            assertThat(ledger.tryCharge(SHARE, 100, false, 0).orElseThrow()).isLessThanOrEqualTo(2_100);
            assertThat(ledger.tryCharge(SHARE, 100, false, 2_001)).isEmpty();
        }

        /** Guards against refusals of an organisation that is within its limit and sends most through one entry. */
        /** Guards against a burst on top of what the entry has used up of its share in the window. */
        @Test
        void leavesNoMoreThanTheWindowHas() {
            ledger.recordUseElsewhere(SHARE, 1, 200, false, 0);
            assertThat(ledger.tryCharge(SHARE, 200, false, 0)).isEmpty();
            assertThat(ledger.tryCharge(SHARE, 1, false, 0)).isPresent();
        }

        @Test
        void leavesTheRateToWhatOthersDontRefuse() {
            ledger.recordUseElsewhere(SHARE, 50_000, 500, false, 0);
            assertThat(ledger.tryCharge(SHARE, 100, false, 1)).isEmpty();
            assertThat(ledger.tryCharge(SHARE, 100, false, 1)).isPresent();
        }
    }

    @Nested
    class Observed {
        private static final OrganisationRule RULE = rule(1_000, 2_000);

        private final QuotaLedger ledger = new QuotaLedger(new QuotaLedger.Tolerance(0, 0, 8_000));
        private final List<String> observed = new ArrayList<>();

        @BeforeEach
        void listen() {
            ledger.setListener(new QuotaListener() {
                @Override
                public void onLimitChanged(String organisation, double before, double after) {
                    observed.add("limit " + (long) before + " " + (long) after);
                }

                @Override
                public void onUseAfterSilence(String peer, String organisation, long silentMillis, long use) {
                    observed.add(peer + " " + silentMillis + " " + use);
                }
            });
            ledger.recordPeerUse("peer/1", RULE, 100, 0);
        }

        @Test
        void statesUseThatAReportBringsAfterASilence() {
            ledger.recordPeerUse("peer/1", RULE, 200, 800);
            ledger.recordPeerUse("peer/1", RULE, 200, 2_000);
            ledger.recordPeerUse("peer/1", RULE, 700, 4_000);
            assertThat(observed).containsExactly("peer/1 2000 500");
        }

        @Test
        void statesAnotherLimit() {
            ledger.tryCharge(rule(500, 1_000), 1, false, 10);
            assertThat(observed).containsExactly("limit 10000 5000");
        }

        @Test
        void statesTheUseOfWhatWasBeyondItsLimitOnce() {
            assertThat(ledger.takeContendedUse()).isEmpty();
            ledger.tryCharge(RULE, 9_000, false, 10);
            assertThat(ledger.takeContendedUse())
                    .singleElement()
                    .satisfies(use -> assertThat(use.organisation()).isEqualTo("fleet"));
            assertThat(ledger.takeContendedUse()).isEmpty();
        }
    }

    @Nested
    class WithRetriesOfRefusedCallers {
        private static final int COST = 10;
        private static final long RETRY_MILLIS = 2_000;

        /** Guards against late requests that use up the limit before requests that could be on time. */
        @Test
        void prefersRequestsThatCanStillBeOnTime() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = rule(1_000, 1_000);
            PriorityQueue<Long> retryTimes = new PriorityQueue<>();
            int onTime = 0;
            int late = 0;
            Random random = new Random(7);
            for (long now = 0; now < 20_000; now++) {
                while (!retryTimes.isEmpty() && retryTimes.peek() <= now) {
                    retryTimes.remove();
                    late += ledger.tryCharge(rule, COST, true, now).isEmpty() ? 1 : 0;
                }
                if (random.nextInt(5) > 0) {
                    continue;
                }
                if (ledger.tryCharge(rule, COST, false, now).isEmpty()) {
                    onTime++;
                } else {
                    retryTimes.add(now + RETRY_MILLIS + random.nextInt(1_000));
                }
            }
            // The limit of 20 s and the burst allow 2,100 requests. If late requests were treated like new ones, 1,438
            // would be on time.
            assertThat(onTime).isGreaterThan(1_900);
            assertThat(late).isLessThan(100);
        }

        @Test
        void admitsLateRequestsFarBelowTheLimit() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            assertThat(ledger.tryCharge(rule(1_000, 1_000), COST, true, 0)).isEmpty();
        }
    }

    @Nested
    class WithLongAndShortRequests {
        private static final double RATE = 100_000;
        private static final int LONG_COST = 3_000;
        private static final int SHORT_COST = 200;
        private static final long SECONDS = 20;

        private int shortOffered;
        private int shortAdmitted;
        private double used;

        /** Offers six times what the limit allows; three requests in ten are short. */
        private void simulate() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = rule(RATE, RATE);
            Random random = new Random(11);
            double perMilli = 6 * RATE / 1_000 / (0.7 * LONG_COST + 0.3 * SHORT_COST);
            for (long now = 0; now < SECONDS * 1_000; now++) {
                if (random.nextDouble() > perMilli) {
                    continue;
                }
                boolean isShort = random.nextDouble() < 0.3;
                int cost = isShort ? SHORT_COST : LONG_COST;
                boolean admitted = ledger.tryCharge(rule, cost, false, now).isEmpty();
                used += admitted ? cost : 0;
                shortOffered += isShort ? 1 : 0;
                shortAdmitted += isShort && admitted ? 1 : 0;
            }
        }

        /**
         * Guards against short requests that are refused because long prompts of the same organisation have used up its
         * limit.
         */
        @Test
        void admitsShortRequestsWhereLongOnesUseUpTheLimit() {
            simulate();
            assertThat(shortAdmitted).isGreaterThanOrEqualTo(shortOffered * 99 / 100);
        }

        @Test
        void admitsNoMoreThanTheLimit() {
            simulate();
            assertThat(used).isLessThanOrEqualTo(RATE * (SECONDS + 1) + LONG_COST + RATE / 20);
        }
    }

    @Nested
    class AcrossSchedulers {
        /**
         * Guards against a refusal of all requests for seconds after a disconnection, while all use from that time is
         * charged in one step.
         */
        @Test
        void admitsRequestsWithinTheLimitSoonAfterADisconnection() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = new OrganisationRule("fleet", Set.of("key"), 0, 1_000, 1_000, true, 10);
            ledger.tryCharge(rule, 1, false, 0);
            ledger.recordPeerUse("other", rule, 500, 5_000);
            ledger.recordPeerUse("other", rule, 500 + 12_000, 17_000);
            assertThat(ledger.tryCharge(rule, 10, false, 17_100)).isEmpty();
        }

        @Test
        void countsTheFirstReportOfAPeer() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            ledger.tryCharge(rule(100, 1_000), 1, false, 0);
            ledger.recordPeerUse("other", rule(100, 1_000), 2_000, 0);
            assertThat(ledger.tryCharge(rule(100, 1_000), 1, false, 1))
                    .isPresent()
                    .hasValueSatisfying(wait -> assertThat(wait).isLessThan(50));
        }

        /**
         * Guards against a scheduler that has just started and is charged all use that its peers have ever admitted.
         */
        @Test
        void onlyEmptiesTheBucketForUseBeforeItsStart() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = rule(1_000, 1_000);
            for (int peer = 0; peer < 6; peer++) {
                ledger.recordPeerUse("entry-" + peer, rule, 500_000, 40);
            }
            assertThat(ledger.tryCharge(rule, 100, false, 70)).isEmpty();
            assertThat(ledger.tryCharge(rule, 100, false, 71))
                    .as("second request, of an empty bucket")
                    .isPresent();
        }

        @Test
        void countsAllUseOfAPeerThatStartsLater() {
            QuotaLedger ledger = new QuotaLedger(QuotaLedger.Tolerance.NONE);
            OrganisationRule rule = rule(1_000, 1_000);
            ledger.tryCharge(rule, 900, false, 0);
            ledger.recordPeerUse("restarted", rule, 1_000, 5_000);
            assertThat(ledger.tryCharge(rule, 100, false, 5_000)).isPresent();
        }
    }
}
