package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FairSharesTest {
    private static final long NOW = 10_000;
    private static final double SLOT_MILLIS = 100;

    private final FairShares shares = new FairShares(queued -> SLOT_MILLIS);

    private static QueuedRequest queued(String organisation, double weight, int rank, int tier) {
        QueuedRequest queued = new QueuedRequest(
                organisation,
                rank,
                NOW,
                NOW + 200,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(100, 50, tier, NOW + 400, NOW + 8_000));
        queued.setOrganisation(organisation, weight);
        return queued;
    }

    private static QueuedRequest queued(String organisation) {
        return queued(organisation, 1, 0, 0);
    }

    private void serve(QueuedRequest like, int count) {
        for (int number = 0; number < count; number++) {
            shares.recordDemand(like, NOW);
            shares.recordGrant(like, NOW);
        }
    }

    @Test
    void putsRequestsAboveTheShareBehindThoseOfOthersOfTheSameRank() {
        serve(queued("flooding"), 20);
        serve(queued("other"), 3);
        QueuedRequest flooding = queued("flooding");
        QueuedRequest otherTier = queued("other", 1, 0, 2);
        QueuedRequest otherRank = queued("other", 1, 1, 0);
        shares.recordScarcity(flooding, NOW);
        assertThat(shares.order(List.of(flooding, otherTier, otherRank), NOW))
                .containsExactly(otherTier, flooding, otherRank);
    }

    @Test
    void keepsTheOrderWhileNobodyHasWaited() {
        serve(queued("flooding"), 20);
        serve(queued("other"), 3);
        List<QueuedRequest> byValue = List.of(queued("flooding"), queued("other"));
        assertThat(shares.order(byValue, NOW)).isEqualTo(byValue);
        assertThat(shares.isAboveShare(byValue.get(0), NOW)).isFalse();
    }

    @Test
    void countsRequestsInProportionToTheWeight() {
        serve(queued("large", 10, 0, 0), 20);
        serve(queued("small", 1, 0, 0), 3);
        shares.recordScarcity(queued("small"), NOW);
        assertThat(shares.isAboveShare(queued("large", 10, 0, 0), NOW)).isFalse();
    }

    /** Guards against urgent requests that wait because their own organisation was granted less urgent ones. */
    @Test
    void keepsAPartOfTheShareForTheMostUrgentRequests() {
        serve(queued("flooding", 1, 0, 2), 20);
        serve(queued("other"), 3);
        shares.recordScarcity(queued("other"), NOW);
        assertThat(shares.isAboveShare(queued("flooding", 1, 0, 2), NOW)).isTrue();
        assertThat(shares.isAboveShare(queued("flooding", 1, 0, 0), NOW)).isFalse();
    }

    @Test
    void doesNotCountRequestsOfLongAgo() {
        serve(queued("flooding"), 20);
        serve(queued("other"), 3);
        long later = NOW + 3_000;
        shares.recordDemand(queued("other"), later);
        shares.recordScarcity(queued("other"), later);
        assertThat(shares.isAboveShare(queued("flooding"), later)).isFalse();
    }
}
