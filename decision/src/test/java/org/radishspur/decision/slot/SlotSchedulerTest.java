package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.OrganisationRule;

import static org.assertj.core.api.Assertions.assertThat;

class SlotSchedulerTest {
    private static final int SLOTS = 2;
    private static final long WAIT_MILLIS = 1_000;

    private final PlayedPools pools = new PlayedPools("scheduler", "a", SLOTS);
    private final Replies replies = new Replies();
    private final QuotaLedger quotas = new QuotaLedger(QuotaLedger.Tolerance.NONE);
    private final SlotScheduler scheduler = new SlotScheduler(pools, quotas, replies);

    @BeforeEach
    void hasOneEngine() {
        pools.upstreams(List.of(PlayedPools.engine(0, "a", SLOTS)), 1);
        scheduler.attach("one", List.of(), 0);
        scheduler.attach("two", List.of(), 0);
    }

    private static SlotRequest request(int tier) {
        return request(tier, 0);
    }

    private static SlotRequest request(int tier, double cost) {
        return new SlotRequest(
                PlayedPools.POOL,
                "",
                "organisation",
                cost,
                0,
                false,
                true,
                WAIT_MILLIS,
                400,
                8_000,
                new SlotRequest.Work(100, 20, 0, tier, "", 0),
                List.of());
    }

    private UpstreamLoad engine() {
        return pools.upstreams().loads().iterator().next();
    }

    private void fill() {
        for (int id = 0; id < SLOTS; id++) {
            scheduler.request("one", id, request(0), 0);
        }
    }

    @Nested
    class Granting {
        @Test
        void grantsAtOnceWhereASlotIsFree() {
            scheduler.request("one", 1, request(0), 0);
            assertThat(replies.of("one", 1)).hasOnlyElementsOfType(SlotReply.Granted.class);
            assertThat(engine().own()).isEqualTo(1);
        }

        @Test
        void queuesWhatComesBeyondTheSlots() {
            fill();
            scheduler.request("two", 7, request(0), 0);
            assertThat(replies.of("two", 7)).hasOnlyElementsOfType(SlotReply.Queued.class);
            assertThat(scheduler.waiting()).isEqualTo(1);
        }

        /** Guards against an order of tiers that holds only among the requests of one entry. */
        @Test
        void servesTheMoreUrgentTierFirstWhicheverEntryAsks() {
            fill();
            scheduler.request("one", 10, request(2), 0);
            scheduler.request("two", 11, request(0), 1);
            scheduler.report("one", 0, new SlotReport.Ended(SlotOutcome.SUCCESS), 5);
            assertThat(replies.last("two", 11)).isInstanceOf(SlotReply.Granted.class);
            assertThat(replies.last("one", 10)).isInstanceOf(SlotReply.Queued.class);
        }

        @Test
        void rejectsWhenWaitingMakesNoSenseAnyMore() {
            fill();
            scheduler.request("two", 7, request(0), 0);
            scheduler.advance(WAIT_MILLIS);
            assertThat(replies.last("two", 7)).isInstanceOf(SlotReply.Rejected.class);
            assertThat(scheduler.waiting()).isZero();
        }
    }

    @Nested
    class Quotas {
        private static final double BURST = 1_000;

        @BeforeEach
        void limitsTheOrganisation() {
            pools.organisation(new OrganisationRule("organisation", Set.of("key"), 0, 1, BURST, true, 1));
        }

        @Test
        void rejectsWhatIsBeyondTheQuota() {
            scheduler.request("one", 1, request(0, BURST + 10), 0);
            scheduler.request("two", 2, request(0, 1), 0);
            assertThat(replies.last("two", 2))
                    .isInstanceOfSatisfying(
                            SlotReply.Rejected.class,
                            rejected -> assertThat(rejected.reason()).isEqualTo(SlotReply.Reason.QUOTA));
        }

        @Test
        void givesBackWhatHasNotRun() {
            scheduler.request("one", 1, request(0, BURST + 10), 0);
            scheduler.report("one", 1, new SlotReport.Ended(SlotOutcome.UNUSED), 1);
            scheduler.request("two", 2, request(0, 1), 1);
            assertThat(replies.last("two", 2)).isInstanceOf(SlotReply.Granted.class);
        }

        @Test
        void keepsWhatMayHaveRun() {
            scheduler.request("one", 1, request(0, BURST + 10), 0);
            scheduler.report("one", 1, new SlotReport.Ended(SlotOutcome.BROKEN), 1);
            scheduler.request("two", 2, request(0, 1), 1);
            assertThat(replies.last("two", 2)).isInstanceOf(SlotReply.Rejected.class);
        }

        @Test
        void givesBackWhatWasQueuedForALostEntry() {
            fill();
            scheduler.request("two", 5, request(0, BURST + 10), 0);
            scheduler.detach("two", 1);
            scheduler.report("one", 0, new SlotReport.Ended(SlotOutcome.SUCCESS), 2);
            scheduler.request("one", 6, request(0, 1), 3);
            assertThat(replies.last("one", 6)).isInstanceOf(SlotReply.Granted.class);
        }
    }

    @Nested
    class FailureDomains {
        /** Guards against bytes between failure domains while entries use a scheduler of another one. */
        @Test
        void prefersAnUpstreamBesideTheEntry() {
            pools.upstreams(List.of(PlayedPools.engine(0, "a", SLOTS), PlayedPools.engine(1, "b", SLOTS)), 1);
            SlotRequest usual = request(0);
            SlotRequest fromAfar = new SlotRequest(
                    usual.pool(),
                    "b",
                    usual.organisation(),
                    0,
                    0,
                    false,
                    true,
                    usual.waitMillis(),
                    usual.targetMillis(),
                    usual.endMillis(),
                    usual.work(),
                    List.of());
            scheduler.request("one", 1, fromAfar, 0);
            assertThat(replies.last("one", 1))
                    .isInstanceOfSatisfying(
                            SlotReply.Granted.class,
                            granted -> assertThat(granted.upstream().failureDomain())
                                    .isEqualTo("b"));
        }
    }

    @Nested
    class Entries {
        /** Guards against slots that stay taken for an entry that was killed. */
        @Test
        void givesTheSlotsOfALostEntryToOthers() {
            fill();
            scheduler.request("two", 7, request(0), 0);
            scheduler.detach("one", 10);
            assertThat(replies.last("two", 7)).isInstanceOf(SlotReply.Granted.class);
            assertThat(engine().own()).isEqualTo(1);
        }

        /** Guards against a scheduler that takes an engine for empty because another scheduler granted its slots. */
        @Test
        void countsWhatAnEntryBringsAlong() {
            String run = PlayedPools.engine(0, "a", SLOTS).run();
            scheduler.attach(
                    "one",
                    List.of(
                            new HeldSlot(1, PlayedPools.POOL, run, 10, 0),
                            new HeldSlot(2, PlayedPools.POOL, run, 10, 0)),
                    0);
            scheduler.request("two", 7, request(0), 0);
            assertThat(replies.last("two", 7)).isInstanceOf(SlotReply.Queued.class);
            scheduler.report("one", 1, new SlotReport.Ended(SlotOutcome.SUCCESS), 5);
            assertThat(replies.last("two", 7)).isInstanceOf(SlotReply.Granted.class);
        }

        @Test
        void forgetsWhatAnEntryHadWhenItAttachesAnew() {
            fill();
            scheduler.attach("one", List.of(), 5);
            assertThat(engine().own()).isZero();
        }

        @Test
        void ignoresReportsOnSlotsThatItDoesntKnow() {
            scheduler.report("one", 99, new SlotReport.Ended(SlotOutcome.SUCCESS), 0);
            scheduler.report("nobody", 1, new SlotReport.FirstByte(10), 0);
            assertThat(engine().own()).isZero();
            assertThat(scheduler.entries()).isEqualTo(2);
        }
    }

    @Nested
    class ConnectionsThatFail {
        private void fails(String entry, long id, long now) {
            scheduler.request(entry, id, request(0), now);
            scheduler.report(entry, id, new SlotReport.Ended(SlotOutcome.UNREACHABLE), now);
        }

        /** Guards against one entry that is cut off and takes every upstream away from all others. */
        @Test
        void ejectNothingWhereOneEntryAloneReportsThem() {
            fails("one", 1, 0);
            fails("one", 2, 10);
            assertThat(replies.ejected).isEmpty();
        }

        @Test
        void ejectAnUpstreamThatTwoEntriesCantReach() {
            fails("one", 1, 0);
            fails("two", 2, 10);
            assertThat(replies.ejected).hasSize(1);
        }

        /** Guards against a crashed upstream to which each probe costs two requests their time. */
        @Test
        void ejectAgainAtTheFirstProbeThatFails() {
            fails("one", 1, 0);
            fails("two", 2, 10);
            fails("one", 3, 2_000);
            assertThat(replies.ejected).hasSize(2);
        }
    }

    /** Keeps what a scheduler replies. */
    private static final class Replies implements SlotScheduler.Listener {
        private final Map<String, List<SlotReply>> replies = new HashMap<>();
        private final List<UpstreamLoad> ejected = new ArrayList<>();

        List<SlotReply> of(String entry, long id) {
            return replies.getOrDefault(entry + id, List.of());
        }

        SlotReply last(String entry, long id) {
            List<SlotReply> all = of(entry, id);
            return all.get(all.size() - 1);
        }

        /** {@inheritDoc} */
        @Override
        public void onReply(String entry, long id, SlotReply reply) {
            replies.computeIfAbsent(entry + id, key -> new ArrayList<>()).add(reply);
        }

        /** {@inheritDoc} */
        @Override
        public void onAnswer(UpstreamLoad upstream, boolean good) {}

        /** {@inheritDoc} */
        @Override
        public void onEjected(UpstreamLoad upstream, String cause) {
            ejected.add(upstream);
        }
    }
}
