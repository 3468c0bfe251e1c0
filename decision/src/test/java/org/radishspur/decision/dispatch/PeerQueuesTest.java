package org.radishspur.decision.dispatch;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.PoolDispatcher.Decision;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/** Load: requests of several tiers that wait at several schedulers, which share the slots of one pool. */
class PeerQueuesTest {
    private static final long NOW = 1_000;
    private static final long REPORT_MILLIS = 40;
    private static final int SLOTS = 100;

    private final PoolDispatcher dispatcher = dispatcher();

    /** Creates a dispatcher that has granted one request of the first tier; tiers count from their first request. */
    private static PoolDispatcher dispatcher() {
        UpstreamPool pool = new UpstreamPool("self", "a", 4);
        pool.refresh(List.of(new Upstream("engine", 1, "pool", "10.0.0.1:80", "a", "v1", SLOTS, false, false)));
        PoolDispatcher dispatcher = new PoolDispatcher(pool);
        assertThat(granted(dispatcher, 0, NOW)).isTrue();
        return dispatcher;
    }

    private static QueuedRequest queued(int rank, int tier, boolean late, long now) {
        return new QueuedRequest(
                "request",
                rank,
                now,
                now + 200,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(100, 50, tier, late ? now : now + 400, now + 8_000));
    }

    private static WaitingCounts waiting(int tier, int count) {
        return WaitingCounts.of(Collections.nCopies(count, queued(0, tier, false, NOW)));
    }

    /** Takes slots for requests of a tier until the next one isn't granted, and returns how many are free then. */
    private static int freeAfterGrants(PoolDispatcher dispatcher, int tier, long now) {
        while (granted(dispatcher, tier, now)) {
            continue;
        }
        return SLOTS - dispatcher.upstreams().loads().iterator().next().inProgress();
    }

    private static boolean granted(PoolDispatcher dispatcher, int tier, long now) {
        QueuedRequest request = queued(0, tier, false, now);
        boolean granted = dispatcher.offer(request, now) instanceof Decision.Granted;
        dispatcher.withdraw(request);
        return granted;
    }

    @Nested
    class WithoutMoreUrgentRequestsElsewhere {
        private final int usual = freeAfterGrants(dispatcher(), 1, NOW);

        /** Guards against other decisions than before where no peer reports who waits, such as one of an older build. */
        @Test
        void decidesAsBeforeWithoutAReport() {
            dispatcher.peerQueues().confirm("older", NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW)).isEqualTo(usual);
        }

        /** Guards against slots that are left for equals or for less urgent requests. */
        @Test
        void leavesNoMoreForEqualsAndLessUrgentRequests() {
            dispatcher.peerQueues().record("equals", waiting(1, 3), NOW);
            dispatcher.peerQueues().record("last tier", waiting(2, 3), NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW)).isEqualTo(usual);
        }

        /** Guards against an empty queue that counts as its predecessor. */
        @Test
        void leavesNoMoreOnceThePeersQueueIsEmpty() {
            dispatcher.peerQueues().record("peer", waiting(0, 2), NOW);
            dispatcher.peerQueues().record("peer", WaitingCounts.NONE, NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW)).isEqualTo(usual);
        }
    }

    @Nested
    class WithMoreUrgentRequestsElsewhere {
        private final int usual = freeAfterGrants(dispatcher(), 1, NOW);

        /** Guards against the last free slots going to a less urgent request while a more urgent one waits at a peer. */
        @Test
        void leavesASlotForEachOfThem() {
            dispatcher.peerQueues().record("one", waiting(0, 1), NOW);
            dispatcher.peerQueues().record("two", waiting(0, 2), NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW)).isEqualTo(usual + 3);
        }

        /** Guards against a pool that stays empty because very many requests wait at a peer. */
        @Test
        void leavesAtMostAsManyAsForOneTier() {
            dispatcher.peerQueues().record("peer", waiting(0, 900), NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW)).isEqualTo(usual + 4);
        }

        /** Guards against urgent requests that wait for others of their own urgency. */
        @Test
        void letsTheMostUrgentTakeTheLastSlot() {
            dispatcher.peerQueues().record("peer", waiting(0, 2), NOW);
            assertThat(freeAfterGrants(dispatcher, 0, NOW)).isZero();
        }
    }

    @Nested
    class WithAPeerThatFails {
        private final int usual = freeAfterGrants(dispatcher(), 1, NOW);

        /** Guards against slots that stay empty for a peer that has fallen silent, was restarted or was stopped. */
        @Test
        void forgetsAReportThatIsNotConfirmed() {
            dispatcher.peerQueues().record("peer", waiting(0, 2), NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW + 3 * REPORT_MILLIS + 1))
                    .isEqualTo(usual);
        }

        /** Guards against a peer with unchanged queue that is forgotten because only changes are reported. */
        @Test
        void keepsAReportThatIsConfirmed() {
            dispatcher.peerQueues().record("peer", waiting(0, 2), NOW);
            dispatcher.peerQueues().confirm("peer", NOW + 3 * REPORT_MILLIS);
            assertThat(freeAfterGrants(dispatcher, 1, NOW + 4 * REPORT_MILLIS)).isEqualTo(usual + 2);
        }

        /** Guards against reports that are forgotten between two rounds where many schedulers report seldom. */
        @Test
        void keepsAReportForLongerWhereReportsAreRare() {
            dispatcher.peerQueues().setReportMillis(10 * REPORT_MILLIS);
            dispatcher.peerQueues().record("peer", waiting(0, 2), NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW + 20 * REPORT_MILLIS)).isEqualTo(usual + 2);
        }

        /**
         * Guards against slots that stay empty for a peer whose requests can't use them, because of evacuations, versions,
         * regions or rests.
         */
        @Test
        void leavesNoSlotsForLongThatNobodyTakes() {
            long grantedAt = 0;
            for (long now = NOW; grantedAt == 0 && now < NOW + 1_000; now += 10) {
                dispatcher.peerQueues().record("peer", waiting(0, 2), now);
                grantedAt = freeAfterGrants(dispatcher, 1, now) == usual ? now : 0;
            }
            assertThat(grantedAt - NOW).isBetween(REPORT_MILLIS, 4 * REPORT_MILLIS);
        }

        /** Guards against numbers of another build that stop the scheduler, or leave slots for nobody. */
        @Test
        void readsNumbersThatItDoesNotKnow() {
            dispatcher.peerQueues().record("peer", WaitingCounts.ofArray(-5, -1, 3_000, 4, 7), NOW);
            assertThat(freeAfterGrants(dispatcher, 1, NOW)).isEqualTo(usual);
        }
    }

    @Nested
    class Counting {
        @Test
        void ordersAsQueuesDo() {
            QueuedRequest queued = queued(1, 1, false, NOW);
            assertThat(WaitingCounts.of(List.of(queued(0, 2, false, NOW))).moreUrgentThan(queued))
                    .isOne();
            assertThat(WaitingCounts.of(List.of(queued(1, 0, false, NOW))).moreUrgentThan(queued))
                    .isOne();
            assertThat(WaitingCounts.of(List.of(queued(0, 0, true, NOW))).moreUrgentThan(queued))
                    .isZero();
            assertThat(WaitingCounts.of(List.of(queued(0, 2, false, NOW))).moreUrgentThan(queued(0, 0, true, NOW)))
                    .isOne();
        }

        /** Guards against reports that grow with the number of tiers, ranks and requests. */
        @Test
        void staysSmallForAnyQueue() {
            List<QueuedRequest> many = IntStream.range(0, 20_000)
                    .mapToObj(number -> queued(number % 30, number % 50, number % 2 == 0, NOW))
                    .toList();
            int[] numbers = WaitingCounts.of(many).toArray();
            assertThat(numbers).hasSizeLessThanOrEqualTo(12);
            assertThat(Arrays.stream(numbers)).allMatch(number -> number >= 0 && number <= 1_024);
        }
    }
}
