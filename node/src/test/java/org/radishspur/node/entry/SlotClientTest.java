package org.radishspur.node.entry;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.decision.slot.SchedulerFailover;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotReport;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.model.catalogue.CallerLimits;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.PoolRule;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.settings.ProcessSettingsFixture;

import static org.assertj.core.api.Assertions.assertThat;

class SlotClientTest {
    private static final HostPort SELF = HostPort.parse("127.0.0.1:1");
    private static final String NEAR = "127.0.0.1:2";
    private static final String FAR = "127.0.0.1:3";
    private static final Upstream ENGINE = new Upstream("u", 1, "pool", "127.0.0.1:9", "a", "v1", 4, false, false);
    private static final Upstream UNLISTED = new Upstream("x", 1, "pool", "127.0.0.1:8", "a", "v1", 4, false, false);

    /** The share of the 91 entries of the view is 10 a second and 100 at once. */
    private static final OrganisationRule RULE =
            new OrganisationRule("organisation", Set.of("key"), 0, 910, 9_100, true, 10);

    private final EventLog events = new EventLog("entry", new PrintStream(OutputStream.nullOutputStream()));
    private final FakeLinks links = new FakeLinks();
    private final RecordingListener listener = new RecordingListener();
    private final CrashLedger crashes = new CrashLedger();
    private final SlotClient client = new SlotClient(
            ProcessSettingsFixture.of("entry", SELF), links, events, new EntryMetrics(), crashes, notes -> {});

    @BeforeEach
    void applyViewWithTwoSchedulers() {
        Catalogue catalogue = new Catalogue(
                1, List.of(), List.of(new PoolRule("pool", 10, 4, true)), List.of(RULE), CallerLimits.DEFAULTS);
        client.onView(
                new ConfirmedView(
                        Optional.of(catalogue),
                        new HostList(1, 1, List.of(ENGINE)),
                        List.of(),
                        91,
                        List.of(new ControlHost(NEAR, "a"), new ControlHost(FAR, "b")),
                        Set.of(),
                        List.of(),
                        Set.of(),
                        Moment.now()),
                0);
    }

    @AfterEach
    void closeLog() {
        events.close();
    }

    private UpstreamSlot requestSlot(long now) {
        UpstreamSlot slot = client.request(buildRequest(), listener, now);
        client.send(slot, now);
        return slot;
    }

    private static SlotRequest buildRequest() {
        return buildRequest("", 0);
    }

    private static SlotRequest buildRequest(String organisation, double quotaCost) {
        return new SlotRequest(
                "pool",
                "",
                organisation,
                quotaCost,
                0,
                false,
                true,
                200,
                400,
                8_000,
                new SlotRequest.ExpectedLoad(100, 20, 0, 0, "", 0),
                List.of(),
                List.of(),
                RequestTerms.NONE);
    }

    private void reply(String scheduler, UpstreamSlot slot, SlotReply reply, long now) {
        client.onReply(scheduler, new FleetMessage.Reply(slot.id(), reply, List.of()), now);
    }

    private static SlotReply granted(Upstream upstream) {
        return new SlotReply.Granted(upstream, true);
    }

    @Nested
    class WithAttachedScheduler {
        @Test
        void attachesBeforeTheFirstRequest() {
            requestSlot(0);
            assertThat(links.sentTo(NEAR)).hasSize(2);
            assertThat(links.sentTo(NEAR).get(0)).isInstanceOf(FleetMessage.Attach.class);
            assertThat(links.sentTo(NEAR).get(1)).isInstanceOf(FleetMessage.RequestSlot.class);
            assertThat(links.sentTo(FAR)).isEmpty();
        }

        @Test
        void reportsTheEndOfAGrantedSlot() {
            UpstreamSlot slot = requestSlot(0);
            reply(NEAR, slot, granted(ENGINE), 1);
            assertThat(listener.granted).containsExactly(slot);
            slot.end(SlotOutcome.SUCCESS);
            assertThat(links.outcomes(NEAR)).containsExactly(SlotOutcome.SUCCESS);
        }

        /**
         * Guards against a slot that stays occupied because its request was cancelled while the grant was in transit.
         */
        @Test
        void releasesASlotGrantedToACancelledRequest() {
            UpstreamSlot slot = requestSlot(0);
            slot.cancel();
            reply(NEAR, slot, granted(ENGINE), 1);
            assertThat(listener.granted).isEmpty();
            assertThat(links.outcomes(NEAR)).contains(SlotOutcome.UNUSED);
        }

        /** Guards against a request that is sent to an upstream which is no longer in the host list of this entry. */
        @Test
        void declinesAnUnlistedUpstream() {
            UpstreamSlot slot = requestSlot(0);
            reply(NEAR, slot, granted(UNLISTED), 1);
            assertThat(listener.granted).isEmpty();
            assertThat(links.outcomes(NEAR)).containsExactly(SlotOutcome.UNUSED);
            assertThat(links.lastRequest(NEAR).request().avoidedRuns()).containsExactly(UNLISTED.runId());
        }

        /** Guards against a request that leaves its regions because a scheduler of an older build ignores them. */
        @Test
        void declinesAnUpstreamInAFailureDomainThatIsNotAllowed() {
            UpstreamSlot slot =
                    client.request(buildRequest().withTerms(new RequestTerms(0, List.of("b"))), listener, 0);
            client.send(slot, 0);
            reply(NEAR, slot, granted(ENGINE), 1);
            assertThat(listener.granted).isEmpty();
            assertThat(links.outcomes(NEAR)).containsExactly(SlotOutcome.UNUSED);
            assertThat(links.lastRequest(NEAR).request().terms().allowedDomains())
                    .containsExactly("b");
        }

        @Test
        void keepsWaitingForARequestReportedAsQueued() {
            UpstreamSlot slot = requestSlot(0);
            reply(NEAR, slot, new SlotReply.Queued(100), 1);
            client.checkPending(150);
            assertThat(links.sentTo(FAR)).isEmpty();
            assertThat(listener.rejected).isEmpty();
        }

        /** Guards against a request that waits forever because the scheduler that queued it never decides. */
        @Test
        void rejectsAQueuedRequestThatIsOverdue() {
            UpstreamSlot slot = requestSlot(0);
            reply(NEAR, slot, new SlotReply.Queued(100), 1);
            client.checkPending(301);
            assertThat(listener.rejected).hasSize(1);
        }
    }

    @Nested
    class WithUnresponsiveScheduler {
        private static final long AFTER_TIMEOUT_MILLIS = SchedulerFailover.REPLY_TIMEOUT_MILLIS + 1;

        /** Guards against requests that wait for a frozen or unreachable scheduler. */
        @Test
        void sendsTheRequestToAnotherScheduler() {
            requestSlot(0);
            client.checkPending(AFTER_TIMEOUT_MILLIS);
            assertThat(links.lastRequest(FAR).request().maxWaitMillis()).isEqualTo(200 - AFTER_TIMEOUT_MILLIS);
        }

        /** Guards against a scheduler that grants slots again which its newly attached entries hold already. */
        @Test
        void reportsHeldSlotsToTheNextScheduler() {
            UpstreamSlot held = requestSlot(0);
            reply(NEAR, held, granted(ENGINE), 1);
            requestSlot(10);
            client.checkPending(10 + AFTER_TIMEOUT_MILLIS);
            FleetMessage.Attach attach = (FleetMessage.Attach) links.sentTo(FAR).get(0);
            assertThat(attach.held()).hasSize(1);
            held.end(SlotOutcome.SUCCESS);
            assertThat(links.outcomes(FAR)).containsExactly(SlotOutcome.SUCCESS);
        }

        /** Guards against two grants for one request after a frozen scheduler resumes. */
        @Test
        void releasesALateGrantOfThePreviousScheduler() {
            UpstreamSlot slot = requestSlot(0);
            long previousId = slot.id();
            client.checkPending(AFTER_TIMEOUT_MILLIS);
            client.onReply(
                    NEAR, new FleetMessage.Reply(previousId, granted(ENGINE), List.of()), AFTER_TIMEOUT_MILLIS + 5);
            assertThat(listener.granted).isEmpty();
            assertThat(links.outcomes(NEAR)).contains(SlotOutcome.UNUSED);
            reply(FAR, slot, granted(ENGINE), AFTER_TIMEOUT_MILLIS + 6);
            assertThat(listener.granted).containsExactly(slot);
        }

        /** Guards against a request that is charged to its quota twice, as a frozen scheduler grants it before it detaches. */
        @Test
        void withdrawsTheRequestBeforeItDetaches() {
            requestSlot(0);
            client.checkPending(AFTER_TIMEOUT_MILLIS);
            List<FleetMessage> sent = links.sentTo(NEAR);
            assertThat(links.outcomes(NEAR)).containsExactly(SlotOutcome.UNUSED);
            assertThat(sent.get(sent.size() - 1)).isInstanceOf(FleetMessage.Detach.class);
        }

        @Test
        void sendsTheRequestImmediatelyWhenTheConnectionIsLost() {
            requestSlot(0);
            links.connected.remove(NEAR);
            client.onLinkLost(NEAR, 5);
            assertThat(links.lastRequest(FAR)).isNotNull();
        }

        /** Guards against requests to a scheduler that detached this entry when its previous connection closed. */
        @Test
        void attachesAgainOverANewConnection() {
            requestSlot(0);
            links.connected.put(NEAR, 2);
            requestSlot(10);
            assertThat(links.sentTo(NEAR))
                    .filteredOn(FleetMessage.Attach.class::isInstance)
                    .hasSize(2);
        }
    }

    @Nested
    class WithLocalScheduler {
        /** Guards against an entry that serves no requests while all control hosts restart. */
        @Test
        void grantsSlotsWhenNoOtherSchedulerIsReachable() {
            links.connected.clear();
            requestSlot(0);
            assertThat(listener.granted).hasSize(1);
        }

        @Test
        void grantsSlotsWhenNoOtherSchedulerIsReady() {
            UpstreamSlot slot = requestSlot(0);
            reply(NEAR, slot, new SlotReply.Rejected(SlotReply.Reason.UNREADY, 0), 1);
            reply(FAR, slot, new SlotReply.Rejected(SlotReply.Reason.UNREADY, 0), 2);
            assertThat(listener.granted).containsExactly(slot);
        }

        /** Guards against a burst of each entry in addition to a quota that is used up when all schedulers are lost. */
        @Test
        void leavesNoBurstToAnOrganisationThatSchedulersHaveRefused() {
            UpstreamSlot refused = requestQuota(0);
            reply(NEAR, refused, new SlotReply.Rejected(SlotReply.Reason.QUOTA, 100), 0);
            useThroughAScheduler();
            links.connected.clear();
            requestQuota(200);
            assertThat(listener.granted).hasSize(1);
            assertThat(listener.rejected).hasSize(2);
        }

        /** Guards against refusals within the limit, as an organisation may send most of its requests to one entry. */
        @Test
        void servesAnOrganisationThatIsWithinItsLimit() {
            useThroughAScheduler();
            links.connected.clear();
            requestQuota(200);
            assertThat(listener.granted).hasSize(2);
        }

        private void useThroughAScheduler() {
            UpstreamSlot slot = client.request(buildRequest("organisation", 500), listener, 0);
            client.send(slot, 0);
            reply(NEAR, slot, granted(ENGINE), 1);
            slot.end(SlotOutcome.SUCCESS);
        }

        private UpstreamSlot requestQuota(long now) {
            UpstreamSlot slot = client.request(buildRequest("organisation", 5), listener, now);
            client.send(slot, now);
            return slot;
        }

        /** Guards against a scheduler that was started anew and knows nothing of what was used before. */
        @Test
        void statesItsUseToEachSchedulerOnceOverANewConnection() {
            long now = EntryServices.now();
            UpstreamSlot slot = client.request(buildRequest("organisation", 500), listener, now);
            client.send(slot, now);
            reply(NEAR, slot, granted(ENGINE), now);
            client.checkPending(now + 1);
            links.sent.clear();
            links.connected.put(FAR, 2);
            client.checkPending(now + 2);
            client.checkPending(now + 3);
            assertThat(links.sentTo(NEAR)).isEmpty();
            assertThat(links.sentTo(FAR))
                    .singleElement()
                    .isInstanceOfSatisfying(
                            FleetMessage.ReportSlot.class,
                            report -> assertThat(report.recentUse()
                                            .orElseThrow()
                                            .use()
                                            .get("organisation")
                                            .total())
                                    .isEqualTo(500));
        }

        /** Guards against a quota that is exceeded because no scheduler counts what entries admit without one. */
        @Test
        void reportsTheUseThatItHasAdmittedToTheNextScheduler() {
            long now = EntryServices.now();
            links.connected.clear();
            client.send(client.request(buildRequest("organisation", 50), listener, now), now);
            client.checkPending(now + 5);
            links.connected.put(FAR, 1);
            requestSlot(now + 10);
            client.checkPending(now + 20);
            assertThat(links.localUse(FAR)).isEqualTo(50);
        }

        /** Guards against the same for a request that the entry admits while it is attached to a third scheduler. */
        @Test
        void reportsTheUseOfRequestsThatSchedulersHaveFailed() {
            long now = EntryServices.now();
            UpstreamSlot slot = client.request(buildRequest("organisation", 50), listener, now);
            client.send(slot, now);
            reply(NEAR, slot, new SlotReply.Rejected(SlotReply.Reason.UNREADY, 0), now + 1);
            reply(FAR, slot, new SlotReply.Rejected(SlotReply.Reason.UNREADY, 0), now + 2);
            assertThat(listener.granted).containsExactly(slot);
            client.checkPending(now + 20);
            requestSlot(now + 5_000);
            client.checkPending(now + 5_010);
            assertThat(links.localUse(NEAR) + links.localUse(FAR)).isEqualTo(50);
        }

        @Test
        void reportsItsOwnGrantsToTheNextScheduler() {
            links.connected.clear();
            requestSlot(0);
            links.connected.put(FAR, 1);
            requestSlot(10);
            FleetMessage.Attach attach = (FleetMessage.Attach) links.sentTo(FAR).get(0);
            assertThat(attach.held()).hasSize(1);
        }
    }

    /** Records the decisions on requests. */
    private static final class RecordingListener implements UpstreamSlot.Listener {
        private final List<UpstreamSlot> granted = new ArrayList<>();
        private final List<SlotReply.Rejected> rejected = new ArrayList<>();

        /** {@inheritDoc} */
        @Override
        public void onGranted(UpstreamSlot slot) {
            granted.add(slot);
        }

        /** {@inheritDoc} */
        @Override
        public void onRejected(SlotReply.Rejected reply) {
            rejected.add(reply);
        }
    }

    /** Records the messages sent; a test sets which connections exist. */
    private static final class FakeLinks implements FleetSender {
        private final Map<String, Integer> connected = new HashMap<>(Map.of(NEAR, 1, FAR, 1));
        private final Map<String, List<FleetMessage>> sent = new HashMap<>();

        List<FleetMessage> sentTo(String address) {
            return sent.getOrDefault(address, List.of());
        }

        FleetMessage.RequestSlot lastRequest(String address) {
            FleetMessage.RequestSlot last = null;
            for (FleetMessage message : sentTo(address)) {
                last = message instanceof FleetMessage.RequestSlot request ? request : last;
            }
            return last;
        }

        long localUse(String address) {
            long use = 0;
            for (FleetMessage message : sentTo(address)) {
                if (message instanceof FleetMessage.ReportSlot report) {
                    use += report.localUse().values().stream()
                            .mapToLong(UseHistory::total)
                            .sum();
                }
            }
            return use;
        }

        List<SlotOutcome> outcomes(String address) {
            List<SlotOutcome> outcomes = new ArrayList<>();
            for (FleetMessage message : sentTo(address)) {
                if (message instanceof FleetMessage.ReportSlot report
                        && report.id() != 0
                        && report.report() instanceof SlotReport.Ended ended) {
                    outcomes.add(ended.outcome());
                }
            }
            return outcomes;
        }

        /** {@inheritDoc} */
        @Override
        public void send(String address, FleetMessage message) {
            sent.computeIfAbsent(address, key -> new ArrayList<>()).add(message);
        }

        /** {@inheritDoc} */
        @Override
        public void send(Collection<String> addresses, FleetMessage message) {
            addresses.forEach(address -> send(address, message));
        }

        /** {@inheritDoc} A scheduler that a test lets be silent is so for requests alone. */
        @Override
        public void ping(String address) {}

        /** {@inheritDoc} */
        @Override
        public void setWatchedAddress(String address) {}

        /** {@inheritDoc} */
        @Override
        public int connectionCount(String address) {
            return connected.getOrDefault(address, 0);
        }
    }
}
