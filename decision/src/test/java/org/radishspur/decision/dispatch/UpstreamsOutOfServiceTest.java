package org.radishspur.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.ColdStart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.radishspur.decision.dispatch.PoolFixture.upstream;
import static org.radishspur.decision.dispatch.PoolFixture.upstreamIn;

/**
 * Tests which upstreams of a pool get no requests, or few, although they are listed and answer.
 */
class UpstreamsOutOfServiceTest {
    private static final long NOW = 10_000;

    private UpstreamPool upstreams;

    @BeforeEach
    void list() {
        upstreams = new UpstreamPool("scheduler", "a", 4);
        upstreams.refresh(List.of(upstream("one"), upstream("two"), upstream("three")));
    }

    private UpstreamLoad load(String id) {
        return upstreams.find(upstream(id).runId()).orElseThrow();
    }

    private static QueuedRequest queued() {
        return PoolFixture.queued(NOW);
    }

    private List<String> chosen(int count) {
        return chosenAt(NOW, count);
    }

    private List<String> chosenAt(long now, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> upstreams.choose(queued(), 0, now))
                .flatMap(Optional::stream)
                .peek(load -> load.recordSent(new Object(), 0, now))
                .map(load -> load.upstream().id())
                .toList();
    }

    @Nested
    class Evacuation {
        private static final Set<String> OWN_DOMAIN = Set.of("a");

        /** Guards against requests that are sent into a failure domain which the operator is about to switch off. */
        @Test
        void sendsNothingToTheFailureDomain() {
            upstreams.refresh(List.of(upstream("one"), upstreamIn("b", "two")));
            upstreams.setEvacuatedDomains(OWN_DOMAIN, NOW);
            assertThat(chosen(10)).hasSize(4).containsOnly("two");
        }

        /** Guards against requests that wait for a slot where no upstream is left. */
        @Test
        void offersNoSlotWhereEveryUpstreamIsEvacuated() {
            upstreams.setEvacuatedDomains(OWN_DOMAIN, NOW);
            assertThat(upstreams.slots(NOW)).isZero();
            assertThat(chosen(1)).isEmpty();
        }

        /** Guards against upstreams that were restarted while they got no requests, and crash under full load. */
        @Test
        void limitsTheUpstreamsOfAFailureDomainThatIsBackInService() {
            upstreams.setColdStart(new ColdStart(3_000, 2), run -> true);
            upstreams.setEvacuatedDomains(OWN_DOMAIN, NOW);
            upstreams.setEvacuatedDomains(Set.of(), NOW);
            assertThat(chosen(12)).hasSize(6);
        }

        @Test
        void liftsTheLimitOnceTheUpstreamsMustBeWarm() {
            upstreams.setColdStart(new ColdStart(3_000, 2), run -> true);
            upstreams.setEvacuatedDomains(OWN_DOMAIN, NOW);
            upstreams.setEvacuatedDomains(Set.of(), NOW);
            assertThat(chosenAt(NOW + 3_000, 12)).hasSize(12);
        }
    }

    @Nested
    class ColdUpstreams {
        private static final long COLD_MILLIS = 3_000;
        private static final int PER_SECOND = 3;

        private void list(boolean cold) {
            upstreams.refresh(List.of(upstream("one").withCold(cold)));
        }

        private int sentWithin(long millis) {
            int sent = 0;
            for (long now = NOW; now < NOW + millis; now += 10) {
                Optional<UpstreamLoad> chosen = upstreams.choose(queued(), 0, now);
                if (chosen.isPresent()) {
                    sent++;
                    Object request = new Object();
                    chosen.get().recordSent(request, 0, now);
                    chosen.get().recordEnd(request);
                }
            }
            return sent;
        }

        /**
         * Guards against an upstream that crashes again after a restart, because all schedulers send to the empty one.
         */
        @Test
        void getNoMoreRequestsPerSecondThanTheirLimit() {
            upstreams.setColdStart(new ColdStart(COLD_MILLIS, PER_SECOND), run -> true);
            list(true);
            assertThat(sentWithin(1_000)).isEqualTo(PER_SECOND);
        }

        @Test
        void getTheirFullLoadOnceTheyAreWarm() {
            upstreams.setColdStart(new ColdStart(COLD_MILLIS, PER_SECOND), run -> true);
            list(true);
            sentWithin(1_000);
            list(false);
            assertThat(sentWithin(1_000)).isEqualTo(100);
        }

        /** Guards against several schedulers that together send more than a cold upstream can serve. */
        @Test
        void getNothingFromASchedulerThatMayNotUseThem() {
            upstreams.setColdStart(new ColdStart(COLD_MILLIS, PER_SECOND), run -> false);
            list(true);
            assertThat(sentWithin(1_000)).isZero();
            assertThat(upstreams.slots(NOW)).isZero();
        }

        /** Guards against a crashed upstream that is reachable again before the host list shows its restart. */
        @Test
        void includeThoseThatWereUnreachableJustBefore() {
            upstreams.setColdStart(new ColdStart(COLD_MILLIS, PER_SECOND), run -> true);
            list(false);
            load("one").recordConnectFailure(NOW - 1_000);
            load("one").recordOutcome(true, 0, NOW);
            assertThat(sentWithin(1_000)).isEqualTo(PER_SECOND);
        }

        @Test
        void getTheirFullLoadInAPoolWithoutAColdStartLimit() {
            list(true);
            assertThat(sentWithin(1_000)).isEqualTo(100);
        }
    }
}
