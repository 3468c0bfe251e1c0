package org.radishspur.testkit.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;

import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.replication.codec.MessagePack;
import org.radishspur.replication.raft.RaftMessage;
import picocli.CommandLine.Command;

/**
 * Measures the size of messages between nodes, and the time to encode and decode them.
 */
@Command(name = "frames", mixinStandardHelpOptions = true)
final class MeasureFrames implements Callable<Integer> {
    private static final int ROUNDS_PER_MESSAGE = 20_000;
    private static final int LENGTH_PREFIX_BYTES = 4;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        PermitId id = new PermitId("entry-101", 1_764_720_000_000L, 123_456);
        List<Long> prefix = new ArrayList<>();
        for (long block = 0; block < 16; block++) {
            prefix.add(block * 0x9E3779B97F4A7C15L);
        }
        measure(
                "heartbeat",
                new PeerMessage.Heartbeat(new PeerMessage.NodeStatus(
                        "entry-101", 1_764_720_000_000L, "domain-1", true, false, 29_000, 7, 12, 3, "")));
        measure(
                "heartbeat reply without changes",
                new PeerMessage.HeartbeatReply(
                        true, Optional.empty(), Optional.empty(), 3, Map.of(), Map.of(), Set.of()));
        measure(
                "heartbeat reply with a view of 370 nodes",
                new PeerMessage.HeartbeatReply(
                        true, Optional.of(clusterView()), Optional.empty(), 3, Map.of(), Map.of(), Set.of()));
        measure("raft heartbeat", new PeerMessage.Raft("control-1#founder", "control-2#founder", appendRequest(0)));
        measure("raft append of 1 claim", new PeerMessage.Raft("control-1#founder", "b#founder", appendRequest(1)));
        measure(
                "permit request",
                new PeerMessage.PermitAcquire(
                        "engines",
                        id,
                        Tier.NORMAL,
                        "organisation-12345",
                        "briefing",
                        30_000_000,
                        new RequestSize(1_200, 200, prefix),
                        "5d41402abc4b2a76b9719d911017c592",
                        29_000));
        measure("permit granted", new PeerMessage.PermitGranted("engines", id, "worker-1234", "10.12.13.14:8000"));
        measure("permit first token", new PeerMessage.PermitFirstToken("engines", id));
        measure(
                "permit finish",
                new PeerMessage.PermitRelease(
                        "engines", id, new PermitOutcome(PermitOutcome.Ending.ANSWERED, 300_000, 9_000_000, 264)));
        return 0;
    }

    private static ClusterView clusterView() {
        List<ClusterView.Member> members = new ArrayList<>();
        for (int node = 0; node < 370; node++) {
            members.add(new ClusterView.Member("entry-" + node, 1_764_720_000_000L + node));
        }
        return new ClusterView(7, 12, members);
    }

    private static RaftMessage appendRequest(int claims) {
        return new RaftMessage.AppendRequest(
                7, 100_000, 7, claims == 0 ? List.of() : List.of(MeasureLog.claim(100_001)), 100_000, 86_400_000);
    }

    private static void measure(String name, PeerMessage message) {
        byte[] bytes = MessagePack.INSTANCE.encode(message, PeerMessage.class);
        Samples encoding = new Samples();
        Samples decoding = new Samples();
        for (int round = 0; round < ROUNDS_PER_MESSAGE; round++) {
            long beganAt = System.nanoTime();
            MessagePack.INSTANCE.encode(message, PeerMessage.class);
            long encodedAt = System.nanoTime();
            MessagePack.INSTANCE.decode(bytes, PeerMessage.class);
            if (round > ROUNDS_PER_MESSAGE / 2) {
                encoding.add(encodedAt - beganAt);
                decoding.add(System.nanoTime() - encodedAt);
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%s: %d bytes, encode p50 %.1f us, decode p50 %.1f us%n",
                name,
                bytes.length + LENGTH_PREFIX_BYTES,
                encoding.medianMicros(),
                decoding.medianMicros());
    }
}
