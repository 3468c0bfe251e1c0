package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishspur.decision.move.RollbackReason;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.decision.permit.PermitOutcome.Ending;
import org.radishspur.decision.upstream.SpeedEstimate;
import org.radishspur.decision.upstream.UpstreamState;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.UpstreamRow;

import static org.assertj.core.api.Assertions.assertThat;

class PoolSchedulerTest {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private long now = MICROS_PER_SECOND;
    private long sequence;

    static PoolRow pool(int upstreams, int queueLimit, int concurrency) {
        List<UpstreamRow> rows = new ArrayList<>();
        for (int index = 0; index < upstreams; index++) {
            rows.add(new UpstreamRow("u" + index, "127.0.0.1:1", "domain", "hardware", false));
        }
        return new PoolRow("pool", PoolKind.ENGINE, rows, queueLimit, concurrency, Map.of());
    }

    private static PoolScheduler scheduler(int upstreams, int queueLimit, int concurrency) {
        return new PoolScheduler(pool(upstreams, queueLimit, concurrency), SchedulerOptions.DEFAULTS, "owner");
    }

    private PermitRequest request(Tier tier, String organisation, String fingerprint) {
        PermitId id = new PermitId("entry", 1, ++sequence);
        return new PermitRequest(
                id,
                tier,
                organisation,
                "route",
                now + 1_000 * MICROS_PER_SECOND,
                new RequestSize(100, 10, List.of()),
                fingerprint);
    }

    private PermitRequest requestWithin(long micros) {
        PermitId id = new PermitId("entry", 1, ++sequence);
        return new PermitRequest(
                id, Tier.NORMAL, "a", "route", now + micros, new RequestSize(100, 10, List.of()), "x" + sequence);
    }

    private static List<PermitAction.Grant> grants(List<PermitAction> actions) {
        return actions.stream()
                .filter(PermitAction.Grant.class::isInstance)
                .map(PermitAction.Grant.class::cast)
                .toList();
    }

    private static List<RefusalReason> refusals(List<PermitAction> actions) {
        return actions.stream()
                .filter(PermitAction.Refuse.class::isInstance)
                .map(action -> ((PermitAction.Refuse) action).refusal().reason())
                .toList();
    }

    private PermitOutcome answered() {
        return new PermitOutcome(Ending.ANSWERED, 1_000, 10_000, 10);
    }

    /** Runs requests one after another, so that the speeds of the upstreams are known. */
    private void measureSpeeds(PoolScheduler scheduler, int rounds) {
        for (int round = 0; round < rounds; round++) {
            PermitRequest request = request(Tier.NORMAL, "settling", "settle-" + round);
            scheduler.submit(request, now);
            scheduler.decide(now);
            now += 10_000;
            scheduler.finish(request.id(), answered(), now);
        }
    }

    @Nested
    class Evacuation {
        /** Guards against requests sent to a failure domain that the operator is about to shut down. */
        @Test
        void refusesRequestsWhenAllUpstreamsAreEvacuated() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            scheduler.evacuate(Set.of("domain"));
            scheduler.submit(request(Tier.NORMAL, "a", "x"), now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.NO_UPSTREAM);
        }

        @Test
        void endsOnceTheFailureDomainIsReadmitted() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            scheduler.evacuate(Set.of("domain"));
            scheduler.evacuate(Set.of());
            scheduler.submit(request(Tier.NORMAL, "a", "x"), now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
        }

        /** Guards against requests sent to an upstream that is added to an evacuated failure domain. */
        @Test
        void appliesToUpstreamsThatAreAddedLater() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            scheduler.evacuate(Set.of("domain"));
            scheduler.configure(pool(2, 100, 1));
            scheduler.submit(request(Tier.NORMAL, "a", "x"), now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.NO_UPSTREAM);
        }
    }

    @Nested
    class Admission {
        private static final int REQUESTS = 200;
        private static final long INTERVAL_MICROS = 20_000;
        private static final long ANSWER_MICROS = 60_000;

        /** The maximum number of requests for each second that an upstream gets which admits none. */
        private static final long MAX_REQUESTS_PER_SECOND = 5;

        /** Guards against an upstream that admits nothing, is the emptiest for it and gets request after request. */
        @Test
        void anUpstreamThatAdmitsNothingGetsFewRequests() {
            PoolScheduler scheduler = scheduler(2, 100, 4);
            measureSpeeds(scheduler, 8);
            long start = now;
            int notAdmitted = 0;
            Map<PermitId, Long> ends = new LinkedHashMap<>();
            for (int number = 0; number < REQUESTS; number++) {
                scheduler.submit(request(Tier.NORMAL, "a", "x" + number), now);
                for (PermitAction.Grant grant : grants(scheduler.decide(now))) {
                    if (grant.upstream().equals("u0")) {
                        notAdmitted++;
                        scheduler.finish(grant.id(), PermitOutcome.of(Ending.NOT_ADMITTED), now);
                    } else {
                        ends.put(grant.id(), now + ANSWER_MICROS);
                    }
                }
                now += INTERVAL_MICROS;
                ends.forEach((id, end) -> {
                    if (end <= now) {
                        scheduler.finish(id, answered(), now);
                    }
                });
                ends.values().removeIf(end -> end <= now);
            }
            assertThat(notAdmitted * MICROS_PER_SECOND / (now - start)).isLessThanOrEqualTo(MAX_REQUESTS_PER_SECOND);
        }

        /** Guards against an upstream that was full for a moment and stays without requests. */
        @Test
        void anUpstreamThatAdmitsAgainIsUsedAgain() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            measureSpeeds(scheduler, 8);
            for (int number = 0; number < REQUESTS; number++) {
                scheduler.submit(request(Tier.NORMAL, "a", "x" + number), now);
                grants(scheduler.decide(now))
                        .forEach(grant -> scheduler.finish(grant.id(), PermitOutcome.of(Ending.NOT_ADMITTED), now));
                now += INTERVAL_MICROS;
            }
            now += 2 * MICROS_PER_SECOND;
            for (int number = 0; number < 4; number++) {
                scheduler.submit(request(Tier.NORMAL, "a", "later" + number), now);
            }
            List<PermitAction.Grant> tests = grants(scheduler.decide(now));
            assertThat(tests).hasSize(1);
            scheduler.finish(tests.get(0).id(), answered(), now);
            assertThat(grants(scheduler.decide(now))).hasSizeGreaterThan(1);
        }
    }

    @Nested
    class UnderOverload {
        @Test
        void theMostUrgentRequestIsGrantedFirst() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            PermitRequest low = request(Tier.LOW, "a", "x");
            PermitRequest urgent = request(Tier.URGENT, "a", "y");
            scheduler.submit(low, now);
            scheduler.submit(urgent, now);
            assertThat(grants(scheduler.decide(now)))
                    .extracting(PermitAction.Grant::id)
                    .containsExactly(urgent.id());
        }

        @Test
        void theLeastUrgentRequestIsShedImmediatelyEvenIfItArrivedFirst() {
            PoolScheduler scheduler = scheduler(1, 2, 1);
            scheduler.pauseGrantsUntil(Long.MAX_VALUE);
            PermitRequest bulk = request(Tier.BULK, "a", "x");
            scheduler.submit(bulk, now);
            scheduler.submit(request(Tier.HIGH, "a", "y"), now);
            scheduler.submit(request(Tier.URGENT, "a", "z"), now);
            List<PermitAction> actions = scheduler.decide(now);
            assertThat(refusals(actions)).containsExactly(RefusalReason.OVERLOADED);
            assertThat(((PermitAction.Refuse) actions.get(0)).id()).isEqualTo(bulk.id());
            assertThat(((PermitAction.Refuse) actions.get(0)).refusal().retryAfterMillis())
                    .isPositive();
        }

        /** Guards against one organisation with many requests getting all upstreams while others wait. */
        @Test
        void organisationsShareTheUpstreamsByCost() {
            PoolScheduler scheduler = scheduler(1, 1_000, 1);
            scheduler.pauseGrantsUntil(now + 1);
            for (int request = 0; request < 100; request++) {
                scheduler.submit(request(Tier.NORMAL, "large", "l" + request), now);
            }
            for (int request = 0; request < 20; request++) {
                scheduler.submit(request(Tier.NORMAL, "small", "s" + request), now);
            }
            int small = 0;
            for (int turn = 0; turn < 40; turn++) {
                now += 10_000;
                PermitAction.Grant grant = grants(scheduler.decide(now)).get(0);
                small += grant.id().sequence() > 100 ? 1 : 0;
                scheduler.finish(grant.id(), answered(), now);
            }
            assertThat(small).isBetween(18, 20);
        }
    }

    @Nested
    class WithDeadlines {
        @Test
        void aRequestThatCannotMeetItsDeadlineIsRefusedImmediately() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            measureSpeeds(scheduler, 10);
            PermitRequest late = new PermitRequest(
                    new PermitId("entry", 1, ++sequence),
                    Tier.URGENT,
                    "a",
                    "route",
                    now + 100,
                    new RequestSize(100, 10, List.of()),
                    "x");
            scheduler.submit(late, now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.DEADLINE_UNREACHABLE);
        }

        @Test
        void noRequestIsRefusedWhileTheSpeedOfAnUpstreamIsUnknown() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            PermitRequest quick = new PermitRequest(
                    new PermitId("entry", 1, ++sequence),
                    Tier.NORMAL,
                    "a",
                    "route",
                    now + 5_000,
                    new RequestSize(100, 256, List.of()),
                    "x");
            scheduler.submit(quick, now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
        }
    }

    @Nested
    class WithChangingSpeeds {
        private void answerNext(PoolScheduler scheduler, long micros) {
            PermitAction.Grant grant = grants(scheduler.decide(now)).get(0);
            now += micros;
            scheduler.finish(grant.id(), new PermitOutcome(Ending.ANSWERED, 0, micros, 10), now);
        }

        private DeadlineEstimate estimateOfHopelessRequest(PoolScheduler scheduler) {
            scheduler.submit(requestWithin(1), now);
            return scheduler.decide(now).stream()
                    .filter(PermitAction.DeadlineUnreachable.class::isInstance)
                    .map(action -> ((PermitAction.DeadlineUnreachable) action).estimate())
                    .findFirst()
                    .orElseThrow();
        }

        private void measureSlow(PoolScheduler scheduler) {
            for (int number = 0; number < 10; number++) {
                scheduler.submit(request(Tier.NORMAL, "a", "slow" + number), now);
                answerNext(scheduler, MICROS_PER_SECOND);
            }
        }

        /** Guards against refusing a queued request by the speeds of its arrival although it can still be answered. */
        @Test
        void aQueuedRequestIsRefusedOnlyByThePresentSpeeds() {
            PoolScheduler scheduler = scheduler(1, 1_000, 1);
            measureSlow(scheduler);
            scheduler.submit(request(Tier.NORMAL, "a", "running"), now);
            scheduler.decide(now);
            PermitRequest queued = requestWithin(3 * MICROS_PER_SECOND);
            scheduler.submit(queued, now);
            for (int number = 0; number < 200; number++) {
                scheduler.submit(request(Tier.URGENT, "a", "other" + number), now);
            }
            List<PermitAction> seen = new ArrayList<>();
            for (int number = 0; number < 250; number++) {
                now += 10_000;
                for (PermitId id : List.copyOf(
                        scheduler.upstreams().iterator().next().inFlight().keySet())) {
                    scheduler.finish(id, new PermitOutcome(Ending.ANSWERED, 0, 10_000, 10), now);
                }
                seen.addAll(scheduler.decide(now));
            }
            assertThat(refusals(seen)).isEmpty();
            assertThat(grants(seen)).extracting(PermitAction.Grant::id).contains(queued.id());
        }

        /** Guards against a pool that serves nobody because it was slow once: only an answer brings a new speed. */
        @Test
        void anUpstreamThatWasSlowIsMeasuredAgainByRequestsWithShortDeadlines() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            measureSlow(scheduler);
            int granted = 0;
            for (int second = 0; second < 60; second++) {
                scheduler.submit(requestWithin(MICROS_PER_SECOND / 2), now);
                for (int step = 0; step < 10; step++) {
                    for (PermitAction.Grant grant : grants(scheduler.decide(now))) {
                        granted++;
                        scheduler.finish(grant.id(), new PermitOutcome(Ending.ANSWERED, 0, 10_000, 10), now + 10_000);
                    }
                    now += 100_000;
                }
            }
            assertThat(granted).isPositive();
        }

        /** Guards against refusals by a queue whose requests keep the price of the slow time in which they arrived. */
        @Test
        void theExpectedWaitFollowsThePresentSpeeds() {
            PoolScheduler scheduler = scheduler(1, 1_000, 1);
            measureSlow(scheduler);
            for (int number = 0; number < 100; number++) {
                scheduler.submit(request(Tier.NORMAL, "a", "r" + number), now);
            }
            for (int number = 0; number < 60; number++) {
                answerNext(scheduler, 10_000);
            }
            DeadlineEstimate estimate = estimateOfHopelessRequest(scheduler);
            UpstreamSnapshot upstream = estimate.upstreams().get(0);
            double service = SpeedEstimate.micros(100, upstream.prefillMicros(), 10, upstream.outputMicros());
            assertThat(upstream.outputMicros()).isLessThan(2_000);
            assertThat(estimate.waitMicros()).isLessThan(1.5 * estimate.waiting() * service);
        }
    }

    @Nested
    class WithLeavingUpstreams {
        /**
         * Guards against requests sent to an upstream that is about to stop, because a stale host list still names it.
         */
        @Test
        void anUpstreamStaysLeavingUntilALaterIncarnationIsSeen() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            scheduler.markAlive("u0", 5);
            scheduler.markLeaving("u0");
            scheduler.markAlive("u0", 5);
            scheduler.submit(request(Tier.NORMAL, "a", "x"), now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.NO_UPSTREAM);
            scheduler.markAlive("u0", 6);
            scheduler.submit(request(Tier.NORMAL, "a", "y"), now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
        }
    }

    @Nested
    class Explanations {
        private List<PermitAction.QueueStalled> stalls(List<PermitAction> actions) {
            return actions.stream()
                    .filter(PermitAction.QueueStalled.class::isInstance)
                    .map(PermitAction.QueueStalled.class::cast)
                    .toList();
        }

        @Test
        void aRefusalForADeadlineStatesItsInputs() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            measureSpeeds(scheduler, 10);
            scheduler.submit(requestWithin(100), now);
            assertThat(scheduler.decide(now)).anySatisfy(action -> {
                assertThat(action).isInstanceOf(PermitAction.DeadlineUnreachable.class);
                DeadlineEstimate estimate = ((PermitAction.DeadlineUnreachable) action).estimate();
                assertThat(estimate.remainingMicros()).isEqualTo(100);
                assertThat(estimate.serviceMicros()).isGreaterThan(100);
                assertThat(estimate.upstreams()).hasSize(1);
            });
        }

        /** Guards against a pool that serves nobody without a line that says why. */
        @Test
        void aQueueWithoutGrantsIsReported() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            scheduler.submit(request(Tier.NORMAL, "a", "running"), now);
            scheduler.decide(now);
            scheduler.submit(request(Tier.NORMAL, "a", "waiting"), now);
            assertThat(stalls(scheduler.decide(now + MICROS_PER_SECOND))).isEmpty();
            List<PermitAction.QueueStalled> stalls = stalls(scheduler.decide(now + 4 * MICROS_PER_SECOND));
            assertThat(stalls).hasSize(1);
            assertThat(stalls.get(0).waiting()).isEqualTo(1);
            assertThat(stalls.get(0).upstreams().get(0).inFlight()).isEqualTo(1);
        }

        @Test
        void aNewOwnerWithAnEmptyQueueReportsNoStall() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            now += 1_000 * MICROS_PER_SECOND;
            scheduler.pauseGrantsUntil(now + MICROS_PER_SECOND);
            scheduler.submit(request(Tier.NORMAL, "a", "first"), now);
            assertThat(stalls(scheduler.decide(now))).isEmpty();
        }
    }

    @Nested
    class WithLoadReports {
        /** Guards against a pool that serves nobody: reports arrive only with answers, so a false one stayed forever. */
        @Test
        void anIdleUpstreamGetsARequestWhateverItLastReported() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            PermitRequest first = request(Tier.NORMAL, "a", "first");
            scheduler.submit(first, now);
            scheduler.decide(now);
            scheduler.loadReported("u0", 3, 0, now);
            scheduler.finish(first.id(), answered(), now);
            scheduler.submit(request(Tier.NORMAL, "a", "second"), now);
            assertThat(grants(scheduler.decide(now + MICROS_PER_SECOND))).hasSize(1);
        }

        /** Guards against taking own requests for the load of others when their reports arrive after their ends. */
        @ParameterizedTest
        @ValueSource(longs = {0, MICROS_PER_SECOND, 30 * MICROS_PER_SECOND})
        void reportsThatArriveAfterTheirRequestsEndedAreNoOtherLoad(long micros) {
            PoolScheduler scheduler = scheduler(1, 100, 8);
            List<PermitRequest> requests = new ArrayList<>();
            for (int number = 0; number < 8; number++) {
                requests.add(request(Tier.NORMAL, "a", "r" + number));
                scheduler.submit(requests.get(number), now);
            }
            assertThat(grants(scheduler.decide(now))).hasSize(8);
            now += micros;
            requests.forEach(request -> scheduler.finish(request.id(), answered(), now));
            for (int report = 1; report <= 8; report++) {
                scheduler.loadReported("u0", report, 0, now);
            }
            UpstreamState upstream = scheduler.upstreams().iterator().next();
            assertThat(upstream.externalLoad()).isZero();
            assertThat(upstream.freeSlots(now)).isEqualTo(8);
        }

        @Test
        void requestsBeyondTheOwnOnesAreOtherLoad() {
            PoolScheduler scheduler = scheduler(1, 100, 8);
            PermitRequest own = request(Tier.NORMAL, "a", "own");
            scheduler.submit(own, now);
            scheduler.decide(now);
            scheduler.loadReported("u0", 6, 0, now);
            UpstreamState upstream = scheduler.upstreams().iterator().next();
            assertThat(upstream.externalLoad()).isEqualTo(5);
            assertThat(upstream.freeSlots(now)).isEqualTo(2);
        }
    }

    @Nested
    class WithFailingUpstreams {
        @Test
        void theLastUsableUpstreamIsNeverEjected() {
            PoolScheduler scheduler = scheduler(2, 100, 4);
            for (int failure = 0; failure < 40; failure++) {
                PermitRequest request = request(Tier.NORMAL, "a", "f" + failure);
                scheduler.submit(request, now);
                scheduler.decide(now);
                scheduler.finish(request.id(), PermitOutcome.of(Ending.FAILED), now);
                now += 1_000;
                long at = now;
                assertThat(scheduler.upstreams()).anyMatch(upstream -> upstream.isUsable(at));
            }
        }

        /** Guards against requests failing at unreachable upstreams although half of the pool is idle. */
        @Test
        void unreachableUpstreamsSoonGetNoRequests() {
            PoolScheduler scheduler = scheduler(4, 100, 4);
            int unreachable = 0;
            for (int number = 0; number < 60; number++) {
                PermitRequest request = request(Tier.NORMAL, "a", "d" + number);
                scheduler.submit(request, now);
                String upstream = grants(scheduler.decide(now)).get(0).upstream();
                boolean isUnreachable = upstream.equals("u0") || upstream.equals("u1");
                unreachable += isUnreachable ? 1 : 0;
                now += 10_000;
                scheduler.finish(request.id(), isUnreachable ? PermitOutcome.of(Ending.UNREACHABLE) : answered(), now);
            }
            assertThat(unreachable).isLessThanOrEqualTo(8);
        }

        @Test
        void anUpstreamMuchSlowerThanTheOthersIsEjected() {
            PoolScheduler scheduler = scheduler(4, 100, 1);
            List<PermitAction> seen = new ArrayList<>();
            for (int round = 0; round < 60; round++) {
                List<PermitRequest> requests = new ArrayList<>();
                for (int request = 0; request < 4; request++) {
                    requests.add(request(Tier.NORMAL, "a", "r" + round + '-' + request));
                    scheduler.submit(requests.get(request), now);
                }
                for (PermitAction action : scheduler.decide(now)) {
                    seen.add(action);
                    if (action instanceof PermitAction.Grant grant) {
                        long micros = grant.upstream().equals("u2") ? 100_000 : 10_000;
                        scheduler.finish(grant.id(), new PermitOutcome(Ending.ANSWERED, 1_000, micros, 10), now);
                    }
                }
                now += 100_000;
            }
            assertThat(seen).contains(new PermitAction.Ejected("u2", PermitAction.EjectionCause.SLOW));
        }
    }

    /** Two upstreams, of which the second one was ejected because it had been much slower for a while. */
    @Nested
    class AfterAnEjectionAsSlow {
        private final PoolScheduler scheduler = scheduler(2, 100, 4);
        private final List<PermitAction> seen = new ArrayList<>();

        /** Sends eight requests and answers those that are granted; returns how many the second upstream got. */
        private int serveRound(long secondMicros) {
            for (int number = 0; number < 8; number++) {
                scheduler.submit(request(Tier.NORMAL, "a", "r" + sequence), now);
            }
            int toSecond = 0;
            for (PermitAction.Grant grant : grants(decide())) {
                boolean second = grant.upstream().equals("u1");
                toSecond += second ? 1 : 0;
                long micros = second ? secondMicros : 10_000;
                scheduler.finish(grant.id(), new PermitOutcome(Ending.ANSWERED, 0, micros, 10), now);
            }
            now += 100_000;
            return toSecond;
        }

        /** Has both upstreams measured, the second one as slow, until it is ejected. */
        private void ejectSecond() {
            for (int round = 0; round < 60 && !isEjected("u1"); round++) {
                serveRound(200_000);
            }
            assertThat(isEjected("u1")).isTrue();
            seen.clear();
        }

        private boolean isEjected(String name) {
            return scheduler.upstreams().stream()
                    .anyMatch(upstream -> upstream.name().equals(name) && !upstream.isUsable(now));
        }

        private List<PermitAction> decide() {
            List<PermitAction> actions = scheduler.decide(now);
            seen.addAll(actions);
            return actions;
        }

        /** Guards against ejecting an upstream again by the times for which it was ejected before. */
        @Test
        void anUpstreamThatIsNormalAgainStays() {
            ejectSecond();
            int toSecond = 0;
            for (int round = 0; round < 100; round++) {
                toSecond += serveRound(10_000);
            }
            assertThat(seen).doesNotHaveAnyElementsOfTypes(PermitAction.Ejected.class);
            assertThat(toSecond).isPositive();
        }

        @Test
        void anUpstreamThatIsStillSlowIsEjectedAgain() {
            ejectSecond();
            for (int round = 0; round < 100; round++) {
                serveRound(200_000);
            }
            assertThat(seen).contains(new PermitAction.Ejected("u1", PermitAction.EjectionCause.SLOW));
        }

        /** Guards against sending all requests to an upstream that is gone while a slow one is ejected. */
        @Test
        void theSlowUpstreamServesOnceTheOtherOneIsUnreachable() {
            ejectSecond();
            int unreachable = 0;
            for (int number = 0; number < 40; number++) {
                PermitRequest request = request(Tier.NORMAL, "a", "u" + number);
                scheduler.submit(request, now);
                PermitAction.Grant grant = grants(decide()).get(0);
                boolean gone = grant.upstream().equals("u0");
                unreachable += gone ? 1 : 0;
                now += 10_000;
                scheduler.finish(grant.id(), gone ? PermitOutcome.of(Ending.UNREACHABLE) : answered(), now);
            }
            assertThat(unreachable).isLessThanOrEqualTo(SchedulerOptions.DEFAULTS.failuresToEject());
        }
    }

    @Nested
    class WithCrashSuspects {
        private final PoolScheduler scheduler = scheduler(3, 100, 4);

        private String dispatch(String fingerprint) {
            PermitRequest request = request(Tier.NORMAL, "a", fingerprint);
            scheduler.submit(request, now);
            return grants(scheduler.decide(now)).get(0).upstream();
        }

        private List<PermitAction> crash(long id) {
            now += 5 * MICROS_PER_SECOND;
            scheduler.finish(new PermitId("entry", 1, id), PermitOutcome.of(Ending.CONNECTION_LOST), now);
            return scheduler.decide(now);
        }

        /** Guards against one request crashing every upstream of the pool, one after another. */
        @Test
        void aRequestInFlightAtTwoCrashesIsRefused() {
            dispatch("poison");
            assertThat(crash(1)).anyMatch(PermitAction.CrashSuspected.class::isInstance);
            dispatch("poison");
            crash(2);
            scheduler.submit(request(Tier.URGENT, "a", "poison"), now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.CRASH_SUSPECT);
        }

        @Test
        void aSecondCrashCountsBeforeAllOwnersAgreeOnIt() {
            dispatch("poison");
            crash(1);
            scheduler.replaceCrashCounts(Map.of("poison", 1), now);
            dispatch("poison");
            crash(2);
            scheduler.submit(request(Tier.URGENT, "a", "poison"), now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.CRASH_SUSPECT);
        }

        @Test
        void aSuspectThatLeavesTheAgreedCountsIsCleared() {
            dispatch("poison");
            crash(1);
            scheduler.replaceCrashCounts(Map.of("poison", 1), now);
            scheduler.replaceCrashCounts(Map.of(), now);
            dispatch("poison");
            crash(2);
            scheduler.submit(request(Tier.URGENT, "a", "poison"), now);
            assertThat(refusals(scheduler.decide(now))).isEmpty();
        }

        @Test
        void aSuspectSharesItsUpstreamWithNoOtherRequest() {
            dispatch("poison");
            crash(1);
            now += 60 * MICROS_PER_SECOND;
            String suspectUpstream = dispatch("poison");
            for (int other = 0; other < 8; other++) {
                assertThat(dispatch("innocent-" + other)).isNotEqualTo(suspectUpstream);
            }
        }

        @Test
        void aSuspectThatIsAnsweredIsCleared() {
            dispatch("neighbour");
            crash(1);
            now += 60 * MICROS_PER_SECOND;
            dispatch("neighbour");
            scheduler.finish(new PermitId("entry", 1, 2), answered(), now);
            assertThat(scheduler.decide(now)).contains(new PermitAction.SuspectCleared("neighbour"));
        }

        private String dispatchUnlike(long... blocks) {
            PermitRequest like = request(Tier.NORMAL, "a", "content-" + sequence);
            List<Long> digests = Arrays.stream(blocks).boxed().toList();
            PermitRequest request = new PermitRequest(
                    like.id(),
                    like.tier(),
                    like.organisation(),
                    like.route(),
                    like.deadlineAt(),
                    new RequestSize(100, 10, digests),
                    like.fingerprint());
            scheduler.submit(request, now);
            List<PermitAction> decided = scheduler.decide(now);
            return grants(decided).isEmpty()
                    ? refusals(decided).toString()
                    : grants(decided).get(0).upstream();
        }

        /** Guards against requests that begin alike and crash one upstream after the other, as no content comes twice. */
        @Test
        void requestsThatBeginLikeThreeThatCrashedUpstreamsAreRefused() {
            dispatchUnlike(1);
            scheduler.finish(new PermitId("entry", 1, sequence), answered(), now);
            for (int crash = 0; crash < 3; crash++) {
                dispatchUnlike(1, 2, 10 + crash);
                crash(sequence);
            }
            assertThat(dispatchUnlike(1, 2, 20)).isEqualTo("[CRASH_SUSPECT]");
            assertThat(dispatchUnlike(1, 3)).doesNotContain("SUSPECT");
        }

        /** Guards against a beginning that all requests share and that is refused because upstreams crash. */
        @Test
        void aBeginningThatIsAnsweredStaysServed() {
            for (int crash = 0; crash < 6; crash++) {
                assertThat(dispatchUnlike(1, 10 + crash)).doesNotContain("SUSPECT");
                crash(sequence);
                dispatchUnlike(1, 30 + crash);
                scheduler.finish(new PermitId("entry", 1, sequence), answered(), now);
            }
            assertThat(dispatchUnlike(1, 50)).doesNotContain("SUSPECT");
        }

        @Test
        void aRequestWithTwoAgreedCrashesIsRefused() {
            scheduler.replaceCrashCounts(Map.of("poison", 2), now);
            scheduler.submit(request(Tier.NORMAL, "a", "poison"), now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.CRASH_SUSPECT);
        }
    }

    @Nested
    class WithSilentUpstreams {
        private PermitRequest grantOne(PoolScheduler scheduler, String fingerprint) {
            PermitRequest request = request(Tier.NORMAL, "a", fingerprint);
            scheduler.submit(request, now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
            return request;
        }

        /** Guards against an upstream that hangs and gets new requests until its first ones have passed their deadlines. */
        @Test
        void anUpstreamThatIsSilentOnSeveralRequestsIsEjected() {
            PoolScheduler scheduler = scheduler(2, 100, 8);
            List<PermitId> silent = new ArrayList<>();
            while (silent.size() < 3) {
                PermitRequest request = request(Tier.NORMAL, "a", "r" + silent.size());
                scheduler.submit(request, now);
                if (grants(scheduler.decide(now)).get(0).upstream().equals("u0")) {
                    silent.add(request.id());
                }
            }
            silent.forEach(id -> scheduler.silenceReported(id, true, now));
            assertThat(scheduler.decide(now))
                    .contains(new PermitAction.Ejected("u0", PermitAction.EjectionCause.FAILING));
        }

        /** Guards against a sound upstream that is ejected since the silence on one request is reported repeatedly. */
        @Test
        void theSilencesOfOneRequestCountOnce() {
            PoolScheduler scheduler = scheduler(2, 100, 8);
            PermitRequest request = grantOne(scheduler, "x");
            for (int report = 0; report < 5; report++) {
                scheduler.silenceReported(request.id(), true, now);
                scheduler.silenceReported(request.id(), true, now);
                scheduler.silenceReported(request.id(), false, now);
            }
            scheduler.finish(request.id(), PermitOutcome.of(Ending.TIMED_OUT), now);
            assertThat(scheduler.decide(now)).noneMatch(PermitAction.Ejected.class::isInstance);
        }

        /** Guards against an upstream that hangs and whose slots are held until the deadlines of its requests. */
        @Test
        void aRequestHoldsNoSlotWhileItsUpstreamIsSilent() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            PermitRequest silent = grantOne(scheduler, "silent");
            scheduler.submit(request(Tier.NORMAL, "a", "waiting"), now);
            assertThat(grants(scheduler.decide(now))).isEmpty();
            scheduler.silenceReported(silent.id(), true, now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
            assertThat(scheduler.permitsInUse()).isEqualTo(2);
        }

        /** Guards against an upstream that gets more requests than it can run once it goes on after a silence. */
        @Test
        void aRequestHoldsItsSlotAgainOnceItsUpstreamGoesOn() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            PermitRequest silent = grantOne(scheduler, "silent");
            scheduler.silenceReported(silent.id(), true, now);
            PermitRequest second = grantOne(scheduler, "second");
            scheduler.silenceReported(silent.id(), false, now);
            scheduler.submit(request(Tier.NORMAL, "a", "waiting"), now);
            scheduler.finish(second.id(), answered(), now);
            assertThat(grants(scheduler.decide(now))).isEmpty();
            scheduler.finish(silent.id(), answered(), now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
        }

        /** Guards against slots that are counted free twice, first at a silence and then at the end of the request. */
        @Test
        void aSilentRequestThatEndsFreesNoSecondSlot() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            PermitRequest silent = grantOne(scheduler, "silent");
            scheduler.silenceReported(silent.id(), true, now);
            grantOne(scheduler, "second");
            scheduler.finish(silent.id(), PermitOutcome.of(Ending.TIMED_OUT), now);
            scheduler.submit(request(Tier.NORMAL, "a", "waiting"), now);
            assertThat(grants(scheduler.decide(now))).isEmpty();
        }

        /** Guards against an upstream that is taken as slow for long because one answer had a silence in it. */
        @Test
        void anAnswerWithASilenceTeachesNoSpeed() {
            PoolScheduler scheduler = scheduler(1, 100, 8);
            measureSpeeds(scheduler, 20);
            UpstreamState upstream = scheduler.upstreams().iterator().next();
            double before = upstream.speed().outputMicros();
            PermitRequest silent = grantOne(scheduler, "silent");
            now += 40 * MICROS_PER_SECOND;
            scheduler.silenceReported(silent.id(), true, now);
            scheduler.silenceReported(silent.id(), false, now);
            scheduler.finish(silent.id(), new PermitOutcome(Ending.ANSWERED, 1_000, 40 * MICROS_PER_SECOND, 10), now);
            assertThat(upstream.speed().outputMicros()).isEqualTo(before);
            assertThat(upstream.answerCount()).isEqualTo(21);
        }

        /** Guards against a request that hangs its upstreams before they crash and is never suspected. */
        @Test
        void aSilentRequestInFlightAtACrashIsSuspected() {
            PoolScheduler scheduler = scheduler(2, 100, 8);
            PermitRequest silent = grantOne(scheduler, "poison");
            scheduler.silenceReported(silent.id(), true, now);
            scheduler.finish(silent.id(), PermitOutcome.of(Ending.CONNECTION_LOST), now);
            assertThat(scheduler.decide(now)).anyMatch(PermitAction.CrashSuspected.class::isInstance);
        }

        /** Guards against a suspect that hangs and keeps all others waiting until its deadline. */
        @Test
        void aSilentSuspectDoesNotHoldUpAnotherOne() {
            PoolScheduler scheduler = scheduler(2, 100, 8);
            scheduler.replaceCrashCounts(Map.of("first", 1, "second", 1), now);
            PermitRequest first = grantOne(scheduler, "first");
            scheduler.submit(request(Tier.NORMAL, "a", "second"), now);
            assertThat(grants(scheduler.decide(now))).isEmpty();
            scheduler.silenceReported(first.id(), true, now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
        }

        /** Guards against a new version that hangs and stays in use until its first requests pass their deadlines. */
        @Test
        void silencesCountOnceAgainstTheVersionUnderTrial() {
            List<UpstreamRow> rows = List.of(new UpstreamRow("new", "127.0.0.1:2", "domain", "hardware", false, "2"));
            PoolScheduler scheduler = new PoolScheduler(
                    new PoolRow("pool", PoolKind.ENGINE, rows, 100, 8, Map.of()), SchedulerOptions.DEFAULTS, "owner");
            scheduler.replaceVersionSplits(Map.of("route", new VersionSplit(1, "1", "2", 1)));
            measureSpeeds(scheduler, 1);
            for (int number = 0; number < 3; number++) {
                PermitRequest silent = grantOne(scheduler, "silent" + number);
                scheduler.silenceReported(silent.id(), true, now);
                scheduler.finish(silent.id(), PermitOutcome.of(Ending.TIMED_OUT), now);
            }
            assertThat(scheduler.versionComparison("route").detectedFault()).isEqualTo(RollbackReason.NONE);
            scheduler.silenceReported(grantOne(scheduler, "last").id(), true, now);
            assertThat(scheduler.versionComparison("route").detectedFault()).isEqualTo(RollbackReason.FAILS_OUTRIGHT);
        }
    }

    @Nested
    class WithEdits {
        @Test
        void anUpstreamGetsRequestsOnceAnEditAddsIt() {
            PoolScheduler scheduler = scheduler(0, 100, 4);
            scheduler.submit(request(Tier.NORMAL, "a", "before"), now);
            assertThat(refusals(scheduler.decide(now))).containsExactly(RefusalReason.NO_UPSTREAM);
            scheduler.configure(pool(1, 100, 4));
            scheduler.submit(request(Tier.NORMAL, "a", "after"), now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
        }
    }

    @Nested
    class WithVersions {
        /** Guards against a move that advances through its stages although the new version gets no requests. */
        @Test
        void aNewVersionGetsItsShareAlthoughItsFirstAnswerWasSlow() {
            List<UpstreamRow> rows = List.of(
                    new UpstreamRow("old", "127.0.0.1:1", "domain", "hardware", false, "1"),
                    new UpstreamRow("new", "127.0.0.1:2", "domain", "hardware", false, "2"));
            PoolRow row = new PoolRow("pool", PoolKind.ENGINE, rows, 100, 8, Map.of());
            PoolScheduler scheduler = new PoolScheduler(row, SchedulerOptions.DEFAULTS, "owner");
            scheduler.replaceVersionSplits(Map.of("route", new VersionSplit(1, "1", "2", 0.2)));
            int toNew = 0;
            for (int number = 0; number < 200; number++) {
                PermitRequest request = request(Tier.NORMAL, "a", "v" + number);
                scheduler.submit(request, now);
                String upstream = grants(scheduler.decide(now)).get(0).upstream();
                boolean first = upstream.equals("new") && toNew++ == 0;
                now += 10_000;
                long micros = first ? 1_000_000 : 10_000;
                scheduler.finish(request.id(), new PermitOutcome(Ending.ANSWERED, 1_000, micros, 10), now);
            }
            assertThat(toNew).isBetween(39, 41);
            assertThat(scheduler.versionComparison("route").detectedFault()).isEqualTo(RollbackReason.NONE);
        }
    }

    @Nested
    class WithLostMessages {
        @Test
        void aDuplicateRequestRepeatsTheGrantAndTakesNoSecondSlot() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            PermitRequest request = request(Tier.NORMAL, "a", "x");
            scheduler.submit(request, now);
            List<PermitAction> first = scheduler.decide(now);
            scheduler.submit(request, now);
            assertThat(scheduler.decide(now)).isEqualTo(first);
            assertThat(scheduler.permitsInUse()).isEqualTo(1);
        }

        @Test
        void aLateDuplicateOfAFinishedRequestIsIgnored() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            PermitRequest request = request(Tier.NORMAL, "a", "x");
            scheduler.submit(request, now);
            scheduler.decide(now);
            scheduler.finish(request.id(), answered(), now);
            scheduler.submit(request, now);
            assertThat(scheduler.decide(now)).isEmpty();
        }

        /** Guards against permits leaked by lost messages, which occupy the slots of upstreams that are idle. */
        @Test
        void aPermitThatItsEntryDoesNotListIsReleased() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            PermitRequest request = request(Tier.NORMAL, "a", "x");
            scheduler.submit(request, now);
            scheduler.decide(now);
            scheduler.reconcile("entry", 1, java.util.Set.of(), MICROS_PER_SECOND, now + MICROS_PER_SECOND / 2);
            assertThat(scheduler.permitsInUse()).isEqualTo(1);
            scheduler.reconcile("entry", 1, java.util.Set.of(), MICROS_PER_SECOND, now + 2 * MICROS_PER_SECOND);
            assertThat(scheduler.permitsInUse()).isZero();
        }

        /** Guards against a request that is never granted because its entry was taken as lost for a moment. */
        @Test
        void aRequestOfAnEntryThatIsBackIsGranted() {
            PoolScheduler scheduler = scheduler(1, 100, 1);
            PermitRequest first = request(Tier.NORMAL, "a", "first");
            PermitRequest waiting = request(Tier.NORMAL, "a", "waiting");
            scheduler.submit(first, now);
            scheduler.submit(waiting, now);
            scheduler.decide(now);
            scheduler.dropEntry("entry", 1);
            scheduler.readmitEntry("entry", 1);
            scheduler.registerInFlight(first, "u0", now);
            scheduler.submit(waiting, now);
            assertThat(scheduler.decide(now)).isEmpty();
            assertThat(scheduler.permitsInUse()).isEqualTo(1);
            scheduler.finish(first.id(), answered(), now);
            assertThat(grants(scheduler.decide(now)))
                    .extracting(PermitAction.Grant::id)
                    .containsExactly(waiting.id());
        }

        /** Guards against a permit that is granted to an entry that is lost, and leaks. */
        @Test
        void aLateRequestOfALostEntryIsIgnored() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            PermitRequest dropped = request(Tier.NORMAL, "a", "dropped");
            PermitRequest finished = request(Tier.NORMAL, "a", "finished");
            scheduler.submit(dropped, now);
            scheduler.submit(finished, now);
            scheduler.decide(now);
            scheduler.finish(finished.id(), answered(), now);
            scheduler.dropEntry("entry", 1);
            scheduler.readmitEntry("entry", 2);
            scheduler.submit(dropped, now);
            assertThat(scheduler.decide(now)).isEmpty();
            scheduler.readmitEntry("entry", 1);
            scheduler.submit(finished, now);
            assertThat(scheduler.decide(now)).isEmpty();
        }

        /** Guards against suspects that wait for ever for one whose entry was lost while it ran. */
        @Test
        void aSuspectIsGrantedAfterTheEntryOfAnotherOneWasLost() {
            PoolScheduler scheduler = scheduler(1, 100, 4);
            scheduler.replaceCrashCounts(Map.of("first", 1, "second", 1), now);
            scheduler.submit(request(Tier.NORMAL, "a", "first"), now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
            scheduler.dropEntry("entry", 1);
            PermitRequest like = request(Tier.NORMAL, "a", "second");
            scheduler.submit(
                    new PermitRequest(
                            new PermitId("other", 1, 1),
                            like.tier(),
                            like.organisation(),
                            like.route(),
                            like.deadlineAt(),
                            like.size(),
                            like.fingerprint()),
                    now);
            assertThat(grants(scheduler.decide(now))).hasSize(1);
        }

        @Test
        void aNewOwnerCountsPermitsThatAreStillInUse() {
            PoolScheduler newOwner = scheduler(1, 100, 1);
            newOwner.pauseGrantsUntil(now + MICROS_PER_SECOND);
            newOwner.registerInFlight(request(Tier.NORMAL, "a", "running"), "u0", now);
            newOwner.submit(request(Tier.NORMAL, "a", "waiting"), now);
            assertThat(newOwner.decide(now + 2 * MICROS_PER_SECOND)).isEmpty();
            newOwner.finish(new PermitId("entry", 1, 1), answered(), now);
            assertThat(grants(newOwner.decide(now + 3 * MICROS_PER_SECOND))).hasSize(1);
        }
    }
}
