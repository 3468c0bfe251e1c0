package org.radishspur.node.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.Tables;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

class PermitServiceTest {
    private static final PoolRow ROW = new PoolRow("pool", PoolKind.SERVICE, List.of(), 10, 10, Map.of());
    private static final Tables TABLES = new Tables(1, Map.of(), Map.of("pool", new Revisioned<>(1, ROW)));
    private static final PeerMessage.PermitAcquire REQUEST = new PeerMessage.PermitAcquire(
            "pool",
            new PermitId("a", 1, 1),
            Tier.NORMAL,
            "organisation",
            "route",
            TimeUnit.SECONDS.toMicros(30),
            RequestSize.SERVICE_CALL,
            "",
            1);

    private final ControlLoop loop = new ControlLoop();
    private final BlockingQueue<Refusal> refusals = new LinkedBlockingQueue<>();

    @AfterEach
    void stopLoop() {
        loop.close();
    }

    private static PeerMessage.PermitRefused refusal(String detail) {
        return new PeerMessage.PermitRefused(
                "pool", REQUEST.id(), Refusal.notRun(RefusalReason.NO_UPSTREAM, detail, 1));
    }

    /** Guards against the refusal of an owner that lacks the tables after another owner has got the request. */
    @Test
    void refusalOfAnEarlierOwnerIsIgnored() throws InterruptedException {
        PermitService service = new PermitService(loop, "a", 1, (node, message) -> {}, node -> true);
        loop.execute(() -> {
            service.onTables(TABLES);
            service.onView(new ClusterView(1, 1, List.of(new ClusterView.Member("b", 1))));
            service.request(REQUEST, new RecordingListener());
            service.onView(new ClusterView(1, 2, List.of(new ClusterView.Member("c", 1))));
            service.onRefused("b", refusal("earlier"));
            service.onRefused("c", refusal("current"));
        });
        Refusal refusal = refusals.poll(20, TimeUnit.SECONDS);
        assertThat(refusal).isEqualTo(refusal("current").refusal());
    }

    /** Records refusals. */
    private final class RecordingListener implements PermitListener {
        @Override
        public void onGranted(String upstream, String address) {}

        @Override
        public void onRefused(Refusal refusal) {
            refusals.add(refusal);
        }
    }
}
