package org.radishspur.node.peer;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.replication.codec.MessagePack;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against nodes that can't decode each other's messages while they get another build one by one. The records
 * below are the messages as the earlier build declares them.
 */
class EarlierPeerTest {
    private static final PeerMessage.PermitAcquire REQUEST = new PeerMessage.PermitAcquire(
            "pool",
            new PermitId("a", 1, 2),
            Tier.NORMAL,
            "organisation",
            "route",
            5,
            new RequestSize(1, 2, List.of()),
            "x",
            3);

    private static <T> T reread(Object message, Class<T> type) {
        return MessagePack.INSTANCE.decode(MessagePack.INSTANCE.encode(message), type);
    }

    @Test
    void permitsInUseAreReadBothWays() {
        EarlierPermitInUse earlier = new EarlierPermitInUse(REQUEST, "upstream");
        PeerMessage.PermitInUse silent = new PeerMessage.PermitInUse(REQUEST, "upstream", true);
        assertThat(reread(silent, EarlierPermitInUse.class)).isEqualTo(earlier);
        assertThat(reread(earlier, PeerMessage.PermitInUse.class))
                .isEqualTo(new PeerMessage.PermitInUse(REQUEST, "upstream", false));
    }

    /** Guards against nodes of two builds that can't read each other's permit requests. */
    @Test
    void permitRequestsAreReadBothWays() {
        EarlierPermitAcquire earlier = new EarlierPermitAcquire(
                REQUEST.pool(),
                REQUEST.id(),
                REQUEST.tier(),
                REQUEST.organisation(),
                REQUEST.route(),
                REQUEST.remainingMicros(),
                REQUEST.size(),
                REQUEST.fingerprint());
        assertThat(reread(REQUEST, EarlierPermitAcquire.class)).isEqualTo(earlier);
        PeerMessage.PermitAcquire read = reread(earlier, PeerMessage.PermitAcquire.class);
        assertThat(read.fingerprint()).isEqualTo(REQUEST.fingerprint());
        assertThat(read.tablesRevision()).isZero();
    }

    private record EarlierPermitAcquire(
            String pool,
            PermitId id,
            Tier tier,
            String organisation,
            String route,
            long remainingMicros,
            RequestSize size,
            String fingerprint) {}

    private record EarlierPermitInUse(PeerMessage.PermitAcquire request, String upstream) {}
}
