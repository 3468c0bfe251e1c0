package org.radishspur.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.error.RunState;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.Tables;
import org.radishspur.model.table.UpstreamRow;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends an owner of a queue requests for a pool before it has the tables that show the pool.
 */
class PoolOwnerServiceTest {
    private static final long LONG_MILLIS = 60_000;
    private static final long SHORT_MILLIS = 100;

    /** Longer than the time for which a new owner waits for registrations, in milliseconds. */
    private static final long REGISTRATION_MILLIS = 600;

    private static final String FINGERPRINT = "content";
    private static final long ANSWER_SECONDS = 20;
    private static final PoolRow ROW = new PoolRow(
            "pool",
            PoolKind.SERVICE,
            List.of(new UpstreamRow("upstream", "127.0.0.1:1", "a", "plain", false)),
            10,
            1,
            Map.of());
    private static final Tables WITH_POOL = new Tables(2, Map.of(), Map.of("pool", new Revisioned<>(2, ROW)));
    private static final Tables WITHOUT_POOL = new Tables(2, Map.of(), Map.of());

    private static final ClusterView VIEW_OF_ONE_ENTRY = new ClusterView(1, 1, List.of(new ClusterView.Member("a", 1)));

    private final ControlLoop loop = new ControlLoop();
    private final BlockingQueue<PeerMessage> sent = new LinkedBlockingQueue<>();
    private final NoReports reports = new NoReports();

    @AfterEach
    void stopLoop() {
        loop.close();
    }

    private PoolOwnerService owner(long maxDeferralMillis) {
        return new PoolOwnerService(loop, "owner/1", (node, message) -> sent.add(message), reports, maxDeferralMillis);
    }

    private static PeerMessage.PermitAcquire request(long sequence) {
        return new PeerMessage.PermitAcquire(
                "pool",
                new PermitId("a", 1, sequence),
                Tier.NORMAL,
                "organisation",
                "route",
                TimeUnit.SECONDS.toMicros(30),
                RequestSize.SERVICE_CALL,
                FINGERPRINT,
                2);
    }

    private PeerMessage answer() throws InterruptedException {
        return sent.poll(ANSWER_SECONDS, TimeUnit.SECONDS);
    }

    private void assertRefusedAsNotRun(PeerMessage answer) {
        assertThat(answer).isInstanceOfSatisfying(PeerMessage.PermitRefused.class, refused -> {
            assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.NO_UPSTREAM);
            assertThat(refused.refusal().runState()).isEqualTo(RunState.NOT_RUN);
        });
    }

    /** Guards against a request that is refused because its entry has an edit earlier than the owner of the queue. */
    @Test
    void requestBeforeTheEditIsGrantedAfterIt() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        loop.execute(() -> {
            owner.onPermitRequest("a", request(1));
            owner.onTables(WITH_POOL);
        });
        assertThat(answer())
                .isEqualTo(new PeerMessage.PermitGranted("pool", request(1).id(), "upstream", "127.0.0.1:1"));
    }

    /** Guards against a slot that is granted twice because its permit was registered before the owner had the pool. */
    @Test
    void slotOfAPermitRegisteredBeforeTheEditIsTaken() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        PermitId inUse = request(1).id();
        loop.execute(() -> {
            owner.onRegister(
                    "a",
                    new PeerMessage.PermitRegister(
                            "pool",
                            1,
                            List.of(new PeerMessage.PermitInUse(request(1), "upstream", false)),
                            List.of(request(2).id())));
            owner.onPermitRequest("a", request(2));
            // There is no other entry to wait for, so that only the registered permit holds the next one back.
            owner.onView(VIEW_OF_ONE_ENTRY);
            owner.onTables(WITH_POOL);
        });
        List<PeerMessage> beforeRelease = new ArrayList<>();
        loop.schedule(
                () -> {
                    sent.drainTo(beforeRelease);
                    owner.onRelease(new PeerMessage.PermitRelease(
                            "pool", inUse, PermitOutcome.of(PermitOutcome.Ending.UNUSED)));
                },
                SHORT_MILLIS);
        assertThat(answer()).isInstanceOf(PeerMessage.PermitGranted.class);
        assertThat(beforeRelease).isEmpty();
    }

    /** Guards against a restarted owner that grants slots which entries use whose registration it hasn't received yet. */
    @Test
    void registrationBeforeTheListOfEntriesDoesNotEndTheWaitForOthers() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        loop.execute(() -> {
            owner.onRegister("a", new PeerMessage.PermitRegister("pool", 1, List.of(), List.of()));
            owner.onPermitRequest("a", request(1));
            owner.onTables(WITH_POOL);
        });
        assertThat(sent.poll(SHORT_MILLIS, TimeUnit.MILLISECONDS)).isNull();
        assertThat(answer()).isInstanceOf(PeerMessage.PermitGranted.class);
    }

    /** Guards against callers who wait for a pool that was removed. */
    @Test
    void requestForAPoolThatIsGoneIsRefusedWithTheTables() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        loop.execute(() -> {
            owner.onPermitRequest("a", request(1));
            owner.onTables(WITHOUT_POOL);
        });
        assertRefusedAsNotRun(answer());
        loop.execute(() -> owner.onPermitRequest("a", request(2)));
        assertRefusedAsNotRun(answer());
    }

    /** Guards against callers who wait until their deadlines for an owner that gets no tables. */
    @Test
    void requestIsRefusedWhereTheTablesDoNotCome() throws InterruptedException {
        PoolOwnerService owner = owner(SHORT_MILLIS);
        loop.execute(() -> owner.onPermitRequest("a", request(1)));
        assertRefusedAsNotRun(answer());
    }

    /** Guards against a slot that stays with a caller who has gone. */
    @Test
    void withdrawnRequestGetsNothing() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        loop.execute(() -> {
            owner.onPermitRequest("a", request(1));
            owner.onPermitRequest("a", request(2));
            owner.onCancel(new PeerMessage.PermitCancel("pool", request(1).id()));
            owner.onTables(WITH_POOL);
        });
        assertThat(answer())
                .isInstanceOfSatisfying(
                        PeerMessage.PermitGranted.class,
                        granted -> assertThat(granted.id()).isEqualTo(request(2).id()));
    }

    /** Guards against slots granted twice: a replaced owner gets the tables late, while entries register at the next one. */
    @Test
    void replacedOwnerGrantsNothingThatItHeld() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        reports.isOwner = false;
        loop.execute(() -> {
            owner.onRegister("a", new PeerMessage.PermitRegister("pool", 1, List.of(), List.of()));
            owner.onPermitRequest("a", request(1));
            owner.onView(VIEW_OF_ONE_ENTRY);
            owner.onTables(WITH_POOL);
        });
        assertThat(sent.poll(REGISTRATION_MILLIS, TimeUnit.MILLISECONDS)).isNull();
        assertThat(owner.schedulers()).isEmpty();
        reports.isOwner = true;
        assertThat(answer()).isInstanceOf(PeerMessage.PermitGranted.class);
    }

    /** Guards against requests that are dropped by a registration which was sent before them and handled after them. */
    @Test
    void heldRegistrationDropsNoLaterRequest() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        reports.isOwner = false;
        loop.execute(() -> {
            owner.onRegister("a", new PeerMessage.PermitRegister("pool", 1, List.of(), List.of()));
            owner.onTables(WITH_POOL);
            owner.onPermitRequest("a", request(1));
            reports.isOwner = true;
            owner.onView(VIEW_OF_ONE_ENTRY);
        });
        assertThat(answer()).isInstanceOf(PeerMessage.PermitGranted.class);
    }

    /** Guards against a request that crashes upstreams and is sent to one more by an owner that got its tables late. */
    @Test
    void crashesThatWereReportedBeforeThePoolWasKnownCount() throws InterruptedException {
        PoolOwnerService owner = owner(LONG_MILLIS);
        loop.execute(() -> {
            owner.onSuspects(Map.of("pool", Map.of(FINGERPRINT, 2)));
            owner.onPermitRequest("a", request(1));
            owner.onTables(WITH_POOL);
        });
        assertThat(answer())
                .isInstanceOfSatisfying(
                        PeerMessage.PermitRefused.class,
                        refused -> assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.CRASH_SUSPECT));
    }

    /** Proposes and reports nothing. */
    private static final class NoReports implements PoolOwnerService.Reporter {
        private volatile boolean isOwner = true;

        @Override
        public boolean isOwner(String pool) {
            return isOwner;
        }

        @Override
        public void propose(MoveDriver.Proposal proposal) {}

        @Override
        public void reportCrash(String pool, String fingerprint, String crashId) {}

        @Override
        public void clearSuspect(String pool, String fingerprint) {}
    }
}
