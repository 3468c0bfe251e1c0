package org.radishspur.node.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.crash.CrashNote;
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.decision.slot.HeldSlot;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.decision.slot.UpstreamRest;
import org.radishspur.model.catalogue.RequestLimit;
import org.radishspur.replication.codec.MessagePack;
import org.radishspur.replication.state.CatalogueState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against processes that can't decode each other's messages, or fail on them, while hosts get another build one
 * by one. The records below are the messages as the earlier build declares them.
 */
class EarlierBuildTest {
    private static final List<CrashNote> NOTES = List.of(new CrashNote(Long.MIN_VALUE, -7, true, 12, true, 5, true));
    private static final HeldSlot HELD = new HeldSlot(3, "pool", "run", 5, 1);
    private static final SlotReport REPORT = new SlotReport.Ended(SlotOutcome.BROKEN);

    private static <T> T reread(Object message, Class<T> type) {
        return MessagePack.INSTANCE.decode(MessagePack.INSTANCE.encode(message), type);
    }

    @Test
    void readsWhatThisBuildSends() {
        assertThat(reread(new FleetMessage.Attach("entry", List.of(HELD), NOTES), EarlierAttach.class))
                .isEqualTo(new EarlierAttach("entry", List.of(HELD)));
        Map<String, UseHistory> localUse = Map.of("o", new UseHistory(20, 100, new int[] {2}));
        assertThat(reread(
                        new FleetMessage.ReportSlot(
                                4, REPORT, NOTES, localUse, Optional.of(new FleetMessage.EntryUse("e", localUse))),
                        EarlierReportSlot.class))
                .isEqualTo(new EarlierReportSlot(4, REPORT));
        assertThat(reread(new FleetMessage.Reply(4, new SlotReply.Queued(9), NOTES), EarlierReply.class))
                .isEqualTo(new EarlierReply(4, new SlotReply.Queued(9)));
        FleetMessage.LoadReport report = new FleetMessage.LoadReport(
                "s",
                true,
                new int[] {1},
                new int[5],
                Map.of("o", 2L),
                NOTES,
                new int[4],
                Map.of("o", 1L),
                Map.of("o", new UseHistory(20, 100, new int[] {2})));
        assertThat(reread(report, EarlierLoadReport.class).organisations()).isEqualTo(Map.of("o", 2L));
    }

    @Test
    void exchangesNotesOnCrashes() {
        EarlierCrashNote earlier = new EarlierCrashNote(Long.MIN_VALUE, -7, true, 12);
        assertThat(reread(NOTES.get(0), EarlierCrashNote.class)).isEqualTo(earlier);
        assertThat(reread(earlier, CrashNote.class))
                .isEqualTo(new CrashNote(Long.MIN_VALUE, -7, true, 12, false, 0, false));
    }

    @Test
    void readsReportsWithALimit() {
        SlotReport.FirstByte first = new SlotReport.FirstByte(5, Optional.of(RequestLimit.ofRate(2)), true);
        assertThat(reread(first, EarlierFirstByte.class)).isEqualTo(new EarlierFirstByte(5));
        assertThat(reread(new EarlierFirstByte(5), SlotReport.FirstByte.class)).isEqualTo(new SlotReport.FirstByte(5));
        SlotReport.Ended ended = new SlotReport.Ended(SlotOutcome.NOT_RUN).withLimit(RequestLimit.NONE);
        EarlierEnded earlier = new EarlierEnded(SlotOutcome.NOT_RUN, 0, 0, 0, 0);
        assertThat(reread(ended, EarlierEnded.class)).isEqualTo(earlier);
        assertThat(reread(earlier, SlotReport.Ended.class)).isEqualTo(new SlotReport.Ended(SlotOutcome.NOT_RUN));
    }

    @Test
    void sendsWhatThisBuildReads() {
        assertThat(reread(new EarlierAttach("entry", List.of(HELD)), FleetMessage.Attach.class))
                .isEqualTo(new FleetMessage.Attach("entry", List.of(HELD), List.of()));
        assertThat(reread(new EarlierReportSlot(4, REPORT), FleetMessage.ReportSlot.class))
                .isEqualTo(new FleetMessage.ReportSlot(4, REPORT, List.of(), Map.of(), Optional.empty()));
        assertThat(reread(new EarlierReply(4, new SlotReply.Queued(9)), FleetMessage.Reply.class))
                .isEqualTo(new FleetMessage.Reply(4, new SlotReply.Queued(9), List.of()));
        EarlierLoadReport report = new EarlierLoadReport("s", true, new int[] {1}, new int[5], Map.of());
        assertThat(reread(report, FleetMessage.LoadReport.class).crashes()).isEmpty();
        assertThat(reread(report, FleetMessage.LoadReport.class).limits()).isEmpty();
        assertThat(reread(report, FleetMessage.LoadReport.class).waitingUsage()).isEmpty();
        assertThat(reread(report, FleetMessage.LoadReport.class).history()).isEmpty();
    }

    @Test
    void readsViewsWithAndWithoutRelays() {
        FleetMessage.ViewRequest request = new FleetMessage.ViewRequest(
                1, "entry", 2, 3, 4, 5, List.of(), FleetMessage.UpstreamReach.REACHED, List.of(), List.of());
        EarlierViewRequest earlierRequest = new EarlierViewRequest(1, "entry", 2, 3, 4, 5, List.of());
        assertThat(reread(request, EarlierViewRequest.class)).isEqualTo(earlierRequest);
        assertThat(reread(earlierRequest, FleetMessage.ViewRequest.class).reach())
                .isEqualTo(FleetMessage.UpstreamReach.NO_RELAY);
        assertThat(reread(earlierRequest, FleetMessage.ViewRequest.class).countsBefore())
                .isEmpty();
        FleetMessage.ViewResponse response = new FleetMessage.ViewResponse(
                1,
                true,
                "leader",
                2,
                Optional.empty(),
                List.of(),
                3,
                List.of(),
                Set.of("a"),
                List.of("relay"),
                Set.of("paused"));
        EarlierViewResponse earlierResponse =
                new EarlierViewResponse(1, true, "leader", 2, Optional.empty(), List.of(), 3, List.of(), Set.of("a"));
        assertThat(reread(response, EarlierViewResponse.class)).isEqualTo(earlierResponse);
        assertThat(reread(earlierResponse, FleetMessage.ViewResponse.class).relays())
                .isEmpty();
        assertThat(reread(earlierResponse, FleetMessage.ViewResponse.class).pausedTrials())
                .isEmpty();
    }

    @Test
    void readsRequestsWithAndWithoutTerms() {
        SlotRequest.ExpectedLoad load = new SlotRequest.ExpectedLoad(1, 2, 3, 0, "", 0);
        SlotRequest request = new SlotRequest(
                        "pool",
                        "a",
                        "o",
                        1,
                        0,
                        false,
                        true,
                        2,
                        3,
                        4,
                        load,
                        List.of("run"),
                        List.of(),
                        RequestTerms.NONE)
                .withTerms(new RequestTerms(200, List.of("a")));
        EarlierSlotRequest earlier =
                new EarlierSlotRequest("pool", "a", "o", 1, 0, false, true, 2, 3, 4, load, List.of("run"), List.of());
        assertThat(reread(request, EarlierSlotRequest.class)).isEqualTo(earlier);
        assertThat(reread(request, SlotRequest.class)).isEqualTo(request);
        assertThat(reread(earlier, SlotRequest.class).terms()).isEqualTo(RequestTerms.NONE);
    }

    private record EarlierSlotRequest(
            String pool,
            String failureDomain,
            String organisation,
            double quotaCost,
            int organisationRank,
            boolean retry,
            boolean allowTrialVersion,
            long maxWaitMillis,
            long firstByteTargetMillis,
            long deadlineMillis,
            SlotRequest.ExpectedLoad expectedLoad,
            List<String> avoidedRuns,
            List<UpstreamRest> rests) {}

    private record EarlierAttach(String entry, List<HeldSlot> held) {}

    private record EarlierReportSlot(long id, SlotReport report) {}

    private record EarlierReply(long id, SlotReply reply) {}

    private record EarlierCrashNote(long request, int upstream, boolean cleared, long ageMillis) {}

    private record EarlierFirstByte(long elapsedMillis) {}

    private record EarlierEnded(
            SlotOutcome outcome, long heldMillis, double eventMillis, long events, long expectedTokens) {}

    private record EarlierLoadReport(
            String scheduler, boolean full, int[] upstreams, int[] counts, Map<String, Long> organisations) {}

    private record EarlierViewRequest(
            long nonce,
            String entry,
            long incarnation,
            long revision,
            long listTerm,
            long listReading,
            List<FleetMessage.VersionCounts> versionCounts) {}

    private record EarlierViewResponse(
            long nonce,
            boolean confirmed,
            String leader,
            long revision,
            Optional<HostList> list,
            List<CatalogueState.Rollout> rollouts,
            int entryCount,
            List<ControlHost> controlHosts,
            Set<String> evacuated) {}
}
