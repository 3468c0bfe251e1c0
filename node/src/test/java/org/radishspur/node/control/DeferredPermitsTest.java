package org.radishspur.node.control;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.Tables;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

class DeferredPermitsTest {
    private static final long MAX_DEFERRAL_MILLIS = 1_000;
    private static final long INCARNATION = 7;
    private static final PoolRow ROW = new PoolRow("pool", PoolKind.SERVICE, List.of(), 10, 10, Map.of());
    private static final Tables WITH_POOL = tables(2, Map.of("pool", new Revisioned<>(2, ROW)));

    private final DeferredPermits deferred = new DeferredPermits(MAX_DEFERRAL_MILLIS);

    private static Tables tables(long revision, Map<String, Revisioned<PoolRow>> pools) {
        return new Tables(revision, Map.of(), pools);
    }

    private static PeerMessage.PermitAcquire request(long sequence, long revision) {
        return new PeerMessage.PermitAcquire(
                "pool",
                new PermitId("a", INCARNATION, sequence),
                Tier.NORMAL,
                "organisation",
                "route",
                5_000_000,
                RequestSize.SERVICE_CALL,
                "",
                revision);
    }

    private static PeerMessage.PermitRegister registration(PeerMessage.PermitAcquire... inUse) {
        return new PeerMessage.PermitRegister(
                "pool",
                INCARNATION,
                List.of(inUse).stream()
                        .map(request -> new PeerMessage.PermitInUse(request, "upstream", false))
                        .toList(),
                List.of());
    }

    /** Guards against an owner that waits for a pool although its tables are as new as those of the entry. */
    @Test
    void onlyARequestByLaterTablesIsAheadOfTheOwner() {
        assertThat(DeferredPermits.mayBecomeKnown(request(1, 2), tables(1, Map.of())))
                .isTrue();
        assertThat(DeferredPermits.mayBecomeKnown(request(1, 2), tables(2, Map.of())))
                .isFalse();
        assertThat(DeferredPermits.mayBecomeKnown(request(1, 2), WITH_POOL)).isFalse();
    }

    /** Guards against refusals of requests of an older build, which states no revision. */
    @Test
    void requestWithoutARevisionMayBeAheadOfTheOwner() {
        assertThat(DeferredPermits.mayBecomeKnown(request(1, 0), tables(5, Map.of())))
                .isTrue();
        assertThat(DeferredPermits.mayBecomeKnown(request(1, 0), WITH_POOL)).isFalse();
    }

    /** Guards against held requests that lose their place in the queue. */
    @Test
    void requestsAreDecidedInTheOrderOfTheirArrival() {
        deferred.defer("a", request(2, 2), 0);
        deferred.defer("a", request(1, 2), 0);
        assertThat(deferred.removeDecided(tables(1, Map.of()), pool -> true)).isEmpty();
        assertThat(deferred.removeDecided(WITH_POOL, pool -> true))
                .extracting(DeferredPermits.Request::message)
                .containsExactly(request(2, 2), request(1, 2));
        assertThat(deferred.size()).isZero();
    }

    /** Guards against a request that waits until its deadline because its entry sends it again each second. */
    @Test
    void requestThatIsSentAgainDoesNotWaitLonger() {
        deferred.defer("a", request(1, 2), 0);
        deferred.defer("a", request(1, 2), MAX_DEFERRAL_MILLIS);
        assertThat(deferred.removeExpired(MAX_DEFERRAL_MILLIS)).isEmpty();
        assertThat(deferred.removeExpired(MAX_DEFERRAL_MILLIS + 1)).hasSize(1);
        assertThat(deferred.size()).isZero();
    }

    /** Guards against memory that requests for a pool that never appears fill. */
    @Test
    void onlySoManyRequestsAreHeld() {
        for (int sequence = 0; sequence < DeferredPermits.MAX_REQUESTS; sequence++) {
            assertThat(deferred.defer("a", request(sequence, 2), 0)).isTrue();
        }
        assertThat(deferred.defer("a", request(DeferredPermits.MAX_REQUESTS, 2), 0))
                .isFalse();
        assertThat(deferred.defer("a", request(0, 2), 0)).isTrue();
        assertThat(deferred.size()).isEqualTo(DeferredPermits.MAX_REQUESTS);
    }

    /** Guards against slots that are granted to a caller who has gone. */
    @Test
    void withdrawnRequestIsForgotten() {
        deferred.defer("a", request(1, 2), 0);
        deferred.forget(request(1, 2).id());
        assertThat(deferred.size()).isZero();
    }

    /** Guards against a slot that counts as taken after it was released. */
    @Test
    void releasedPermitIsLeftOutOfItsRegistration() {
        deferred.defer("a", registration(request(1, 1), request(2, 1)), 0);
        deferred.forget(request(1, 1).id());
        assertThat(deferred.removeRegistrations(WITH_POOL, pool -> true))
                .extracting(DeferredPermits.Registration::register)
                .containsExactly(registration(request(2, 1)));
        assertThat(deferred.size()).isZero();
    }

    /** Guards against slots that stay taken by an outdated registration. */
    @Test
    void laterRegistrationReplacesTheEarlierOneOfItsEntry() {
        deferred.defer("a", registration(request(1, 1)), 0);
        deferred.defer("a", registration(), 0);
        assertThat(deferred.removeRegistrations(WITH_POOL, pool -> true))
                .extracting(DeferredPermits.Registration::register)
                .containsExactly(registration());
    }

    /** Guards against messages that stay after the process that sent them has ended. */
    @Test
    void messagesOfALostEntryAreDropped() {
        deferred.defer("a", request(1, 2), 0);
        deferred.defer("a", registration(), 0);
        deferred.drop(new ClusterView.Member("a", INCARNATION + 1));
        assertThat(deferred.size()).isEqualTo(2);
        deferred.drop(new ClusterView.Member("a", INCARNATION));
        assertThat(deferred.size()).isZero();
    }

    /** Guards against registrations that stay for a pool that never appears. */
    @Test
    void registrationThatIsHeldTooLongIsDropped() {
        deferred.defer("a", registration(), 0);
        assertThat(deferred.removeExpired(MAX_DEFERRAL_MILLIS + 1)).isEmpty();
        assertThat(deferred.size()).isZero();
    }
}
