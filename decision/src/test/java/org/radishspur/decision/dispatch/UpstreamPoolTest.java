package org.radishspur.decision.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamPoolTest {
    private static final long NOW = 10_000;

    private UpstreamPool upstreams;

    @BeforeEach
    void list() {
        upstreams = new UpstreamPool("entry", "a", 4);
        upstreams.refresh(List.of(upstream("one"), upstream("two"), upstream("three")));
    }

    private static Upstream upstream(String id) {
        return new Upstream(id, 1, "pool", "10.0.0.1:80", "a", "v1", 4, false, false);
    }

    private UpstreamLoad load(String id) {
        return upstreams.find(upstream(id).run()).orElseThrow();
    }

    private static QueuedRequest queued() {
        return new QueuedRequest(
                "r",
                0,
                NOW,
                NOW + 200,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Work(0, 0, 0, NOW + 400, NOW + 3_000));
    }

    private List<String> chosen(int count) {
        return java.util.stream.IntStream.range(0, count)
                .mapToObj(index -> upstreams.choose(queued(), 0, NOW))
                .flatMap(Optional::stream)
                .peek(load -> load.began(new Object(), 0, NOW))
                .map(load -> load.upstream().id())
                .toList();
    }

    @Nested
    class Faults {
        /** An upstream that fails part of its requests while others are well gets nothing for a moment. */
        @Test
        void pausesAnUpstreamThatFailsInARow() {
            for (int count = 0; count < 3; count++) {
                load("one").recordOutcome(false, 0, NOW);
            }
            assertThat(chosen(8)).doesNotContain("one");
        }

        /** Guards against an engine that is ejected because one reset has broken several of its connections. */
        @Test
        void trustsAnUpstreamWhoseConnectionsBreakAtOneMoment() {
            for (int connection = 0; connection < 4; connection++) {
                if (load("one").broke(NOW + connection)) {
                    load("one").recordOutcome(false, 0, NOW);
                }
            }
            assertThat(chosen(12)).contains("one");
        }

        @Test
        void pausesAnUpstreamWhoseConnectionsBreakAgainAndAgain() {
            for (int connection = 0; connection < 3; connection++) {
                if (load("one").broke(NOW + connection * 60L)) {
                    load("one").recordOutcome(false, 0, NOW);
                }
            }
            assertThat(chosen(8)).doesNotContain("one");
        }

        /** Requests that fail everywhere, because of what they ask, must not empty the pool. */
        @Test
        void keepsThePoolWhenAllFail() {
            for (String id : List.of("one", "two", "three")) {
                for (int count = 0; count < 5; count++) {
                    load(id).recordOutcome(false, 0, NOW);
                }
            }
            assertThat(chosen(3)).isNotEmpty();
        }

        @Test
        void triesAPausedUpstreamWithOneRequest() {
            for (int count = 0; count < 3; count++) {
                load("one").recordOutcome(false, 0, NOW - 1_600);
            }
            assertThat(chosen(12)).filteredOn("one"::equals).hasSize(1);
        }

        @Test
        void takesNothingToAnUnreachableUpstreamEvenIfItIsTheLast() {
            for (String id : List.of("one", "two", "three")) {
                load(id).recordConnectFailure(NOW);
            }
            assertThat(chosen(1)).isEmpty();
        }

        /** An upstream falls silent with requests in it; no reset tells. No new request joins them. */
        @Test
        void avoidsAnUpstreamThatHasFallenSilent() {
            load("one").began("hanging", 0, NOW - 2_000);
            assertThat(chosen(8)).doesNotContain("one");
        }

        @Test
        void keepsABusyUpstreamThatStillSends() {
            load("one").began("waiting", 0, NOW - 2_000);
            load("one").recordBytes(NOW - 50);
            assertThat(chosen(12)).contains("one");
        }

        /** The address of an instance that has ended was given to another one, which answers for itself. */
        @Test
        void dropsAnInstanceWhoseAddressAnotherOneHas() {
            load("one").markReplaced();
            upstreams.refresh(List.of(upstream("one"), upstream("two"), upstream("three")));
            assertThat(chosen(12)).doesNotContain("one");
        }
    }

    @Nested
    class LongAnswers {
        private static final long QUEUED_UNTIL = NOW + 200;

        @BeforeEach
        void learn() {
            for (int answer = 0; answer < 5; answer++) {
                load("one").answered(new Object(), 1_000, 30, NOW);
                load("one").recordEventTime(140, 10);
                load("two").answered(new Object(), 1_000, 100, NOW);
                load("two").recordEventTime(600, 10);
                load("three").answered(new Object(), 1_000, 100, NOW);
                load("three").recordEventTime(600, 10);
                upstreams.outputs().add(50, 10);
            }
            for (int place = 0; place < 4; place++) {
                load("one").began(new Object(), 0, NOW);
            }
        }

        private Optional<String> chosenFor(long expectedTokens, long now) {
            return chosenFor(expectedTokens, 0, now);
        }

        private Optional<String> chosenFor(long expectedTokens, long limitTokens, long now) {
            QueuedRequest queued = new QueuedRequest(
                    "r",
                    0,
                    NOW,
                    QUEUED_UNTIL,
                    VersionRule.Any.INSTANCE,
                    new QueuedRequest.Work(
                            1_000, expectedTokens, limitTokens, 0, NOW + 400, NOW + 8_000, QueuedRequest.Prefix.NONE));
            return upstreams.choose(queued, 0, now).map(load -> load.upstream().id());
        }

        /** Guards against an answer that gets longer than expected and is cut at its deadline on a slow engine. */
        @Test
        void waitForAFastEngineWhereALongerAnswerWouldNotFit() {
            assertThat(chosenFor(400, NOW)).isEmpty();
        }

        @Test
        void takeASlowEngineOnceTheyHaveWaitedInVain() {
            assertThat(chosenFor(400, NOW + 150)).isPresent();
        }

        /** Guards against a slow engine for an answer that seems too long for all, so that they look alike. */
        @Test
        void waitForAFastEngineWhereTheySeemTooLongForAll() {
            assertThat(chosenFor(5_000, NOW)).isEmpty();
            assertThat(chosenFor(5_000, NOW + 150)).isEmpty();
        }

        @Test
        void countUpToTheirLimit() {
            assertThat(chosenFor(400, 500, NOW)).isPresent();
        }

        @Test
        void doNotKeepShortAnswersFromSlowEngines() {
            assertThat(chosenFor(150, NOW)).isPresent();
        }
    }

    /**
     * Many entries: this one has had answers from one engine only, and has been told the paces of the others.
     */
    @Nested
    class HardlyKnownEngines {
        @BeforeEach
        void learn() {
            for (int answer = 0; answer < 40; answer++) {
                load("one").recordEventTime(140, 10);
                load("one").answered(new Object(), 1_000 + 100 * answer, 30 + answer, NOW);
                upstreams.outputs().add(50, 10);
            }
            load("two").recordPeerEventTime(75);
            load("three").recordPeerEventTime(75);
            upstreams.schedulers(50);
            for (int place = 0; place < 4; place++) {
                load("one").began(new Object(), 0, NOW);
            }
        }

        private Optional<String> chosenFor(long promptTokens, long expectedTokens) {
            QueuedRequest queued = new QueuedRequest(
                    "r",
                    0,
                    NOW,
                    NOW + 200,
                    VersionRule.Any.INSTANCE,
                    new QueuedRequest.Work(promptTokens, expectedTokens, 0, NOW + 400, NOW + 8_000));
            return upstreams.choose(queued, 0, NOW).map(load -> load.upstream().id());
        }

        /** Guards against a slow engine that counts as good for everything until it has answered here. */
        @Test
        void keepLongAnswersThatCouldNotEndThere() {
            assertThat(chosenFor(1_000, 400)).isEmpty();
        }

        @Test
        void keepLongPromptsThatWouldBeLateThere() {
            assertThat(chosenFor(20_000, 50)).isEmpty();
        }

        @Test
        void takeShortRequests() {
            assertThat(chosenFor(1_000, 50)).isPresent();
        }
    }

    @Nested
    class SharedPrefixes {
        private QueuedRequest ticketOf(String prefix, long tokens) {
            return new QueuedRequest(
                    "r",
                    0,
                    NOW,
                    NOW + 200,
                    VersionRule.Any.INSTANCE,
                    new QueuedRequest.Work(
                            15_000, 50, 0, 0, NOW + 400, NOW + 8_000, new QueuedRequest.Prefix(prefix, tokens)));
        }

        private UpstreamLoad chosenBy(String entry, QueuedRequest queued) {
            UpstreamPool other = new UpstreamPool(entry, "a", 4);
            other.refresh(IntStream.range(0, 12)
                    .mapToObj(number -> upstream("engine-" + number))
                    .toList());
            return other.choose(queued, 0, NOW).orElseThrow();
        }

        /** Guards against shared prompts that are read anew at every engine. */
        @Test
        void goToTheSameFewUpstreamsFromAllEntries() {
            Set<String> used = IntStream.range(0, 9)
                    .mapToObj(entry -> chosenBy("entry-" + entry, ticketOf("chart", 13_000)))
                    .map(load -> load.upstream().id())
                    .collect(Collectors.toSet());
            assertThat(used).hasSizeLessThanOrEqualTo(2);
        }

        @Test
        void areSpreadOverAllUpstreamsByTheirNames() {
            Set<String> used = IntStream.range(0, 60)
                    .mapToObj(prefix -> chosenBy("entry", ticketOf("chart-" + prefix, 13_000)))
                    .map(load -> load.upstream().id())
                    .collect(Collectors.toSet());
            assertThat(used).hasSizeGreaterThan(9);
        }

        @Test
        void doNotMatterWhereTheyAreShort() {
            Set<String> used = IntStream.range(0, 9)
                    .mapToObj(entry -> chosenBy("entry-" + entry, ticketOf("chart", 60)))
                    .map(load -> load.upstream().id())
                    .collect(Collectors.toSet());
            assertThat(used).hasSizeGreaterThan(2);
        }

        @Test
        void yieldToAFreePlaceElsewhere() {
            QueuedRequest first = ticketOf("chart", 13_000);
            Set<String> used = new HashSet<>();
            for (int place = 0; place < 12; place++) {
                UpstreamLoad load = upstreams.choose(first, 0, NOW).orElseThrow();
                load.began(place, 0, NOW);
                used.add(load.upstream().id());
            }
            assertThat(used).hasSize(3);
        }
    }

    @Nested
    class NewUpstreams {
        /** Guards against a rush of all entries to an engine that is listed anew and looks fast and empty. */
        @Test
        void getOnlyThisEntrysPartOfTheirSlotsUntilTheyHaveAnswered() {
            upstreams.schedulers(9);
            assertThat(chosen(20)).containsExactlyInAnyOrder("one", "two", "three");
        }

        @Test
        void getAllOfTheirPlacesOnceAnotherEntryHasToldTheirPace() {
            upstreams.schedulers(9);
            for (String id : List.of("one", "two", "three")) {
                load(id).recordPeerEventTime(15);
            }
            assertThat(chosen(20)).hasSize(12);
        }

        @Test
        void getAllOfTheirPlacesFromAnEntryThatIsAlone() {
            assertThat(chosen(20)).hasSize(12);
        }

        /** Guards against an engine that is given up before its first answer, and so is never learnt to be slow. */
        @Test
        void areWaitedForLongerThanKnownOnes() {
            load("one").began("first", 0, NOW);
            assertThat(load("one").isSilent(NOW + 1_000)).isFalse();
            load("one").answered("first", 0, 50, NOW + 1_000);
            load("one").began("second", 0, NOW + 1_000);
            assertThat(load("one").isSilent(NOW + 2_000)).isTrue();
        }
    }

    @Nested
    class Refreshing {
        @Test
        void forgetsAnUpstreamThatIsNoLongerListed() {
            upstreams.refresh(List.of(upstream("two")));
            assertThat(upstreams.loads()).hasSize(1);
        }

        @Test
        void keepsAnUnlistedUpstreamUntilItsRequestsEndButSendsItNothing() {
            load("one").began("running", 0, NOW);
            upstreams.refresh(List.of(upstream("two")));
            assertThat(upstreams.loads()).hasSize(2);
            assertThat(chosen(4)).containsOnly("two");
        }

        @Test
        void takesAnInstanceThatStartedAgainForAnotherOne() {
            load("one").recordOutcome(false, 0, NOW);
            upstreams.refresh(List.of(new Upstream("one", 2, "pool", "10.0.0.1:80", "a", "v1", 4, false, false)));
            assertThat(upstreams.loads())
                    .singleElement()
                    .satisfies(load -> assertThat(load.failureShare()).isZero());
        }
    }

    @Nested
    class Avoiding {
        @Test
        void leavesOutWhatWasTriedWhileOthersAreThere() {
            QueuedRequest retried = queued();
            retried.avoid(upstream("one").run());
            assertThat(upstreams.choose(retried, 0, NOW)).get().isNotSameAs(load("one"));
        }

        @Test
        void triesTheSameAgainWhereItIsTheOnlyOne() {
            upstreams.refresh(List.of(upstream("one")));
            QueuedRequest retried = queued();
            retried.avoid(upstream("one").run());
            assertThat(upstreams.choose(retried, 0, NOW)).containsSame(load("one"));
        }
    }
}
