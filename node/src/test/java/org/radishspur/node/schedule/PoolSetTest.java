package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.QueuedRequest;
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.dispatch.VersionRule;
import org.radishspur.model.catalogue.CallerLimits;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.PoolRule;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.HostList;
import org.radishspur.node.fleet.Moment;
import org.radishspur.replication.state.CatalogueState.Rollout;
import org.radishspur.replication.state.CatalogueState.RolloutStage;

import static org.assertj.core.api.Assertions.assertThat;

class PoolSetTest {
    private static final Catalogue CATALOGUE =
            new Catalogue(1, List.of(), List.of(new PoolRule("pool", 10, 4, true)), List.of(), CallerLimits.DEFAULTS);

    private static final int COLD_PER_SECOND = 10;

    private final PoolSet pools = new PoolSet("scheduler", "a", 0.1);

    /**
     * Guards against a cold upstream that several schedulers use at once, each up to its limit, or that no scheduler
     * uses.
     */
    @Test
    void letsExactlyOneSchedulerUseAColdUpstream() {
        List<ControlHost> controlHosts = IntStream.range(0, 6)
                .mapToObj(number -> new ControlHost("10.0.0." + number + ":76", "domain-" + number % 3))
                .toList();
        List<Upstream> cold = IntStream.range(0, 30)
                .mapToObj(number -> new Upstream(
                                "e" + number,
                                1,
                                "pool",
                                "10.0.1." + number + ":80",
                                "domain-" + number % 3,
                                "v1",
                                4,
                                false,
                                false)
                        .withCold(true))
                .toList();
        Map<String, Integer> grants = new HashMap<>();
        for (ControlHost controlHost : controlHosts) {
            grantedUpstreams(controlHost, controlHosts, cold).forEach(id -> grants.merge(id, 1, Integer::sum));
        }
        assertThat(grants).hasSize(cold.size());
        assertThat(grants.values()).allMatch(count -> count == COLD_PER_SECOND);
    }

    private static List<String> grantedUpstreams(
            ControlHost controlHost, List<ControlHost> controlHosts, List<Upstream> cold) {
        PoolSet scheduler = new PoolSet(controlHost.address(), controlHost.failureDomain(), 0.1);
        PoolRule rule = new PoolRule("pool", 10, 4, true).withColdStart(new ColdStart(3_000, COLD_PER_SECOND));
        scheduler.apply(
                new ConfirmedView(
                        Optional.of(new Catalogue(1, List.of(), List.of(rule), List.of(), CallerLimits.DEFAULTS)),
                        new HostList(1, 1, cold),
                        List.of(),
                        0,
                        controlHosts,
                        Set.of(),
                        List.of(),
                        Set.of(),
                        Moment.LONG_AGO),
                controlHosts.size(),
                0);
        List<String> upstreamIds = new ArrayList<>();
        for (long now = 0; now < 1_000; now += 5) {
            long at = now;
            QueuedRequest queued = new QueuedRequest(
                    "r",
                    0,
                    at,
                    at,
                    VersionRule.Any.INSTANCE,
                    new QueuedRequest.Requirements(0, 0, 0, at + 400, at + 3_000));
            scheduler.dispatcher("pool").upstreams().choose(queued, 0, at).ifPresent(load -> {
                load.recordSent(queued, 0, at);
                load.recordEnd(queued);
                upstreamIds.add(load.upstream().id());
            });
        }
        return upstreamIds;
    }

    private void applyView(RolloutStage stage, String... versions) {
        applyView(stage, Set.of(), versions);
    }

    private void applyView(RolloutStage stage, Set<String> pausedTrials, String... versions) {
        List<Upstream> upstreams = java.util.Arrays.stream(versions)
                .map(version -> new Upstream(version, 1, "pool", "10.0.0.1:80", "a", version, 4, false, false))
                .toList();
        pools.apply(
                new ConfirmedView(
                        Optional.of(CATALOGUE),
                        new HostList(1, 1, upstreams),
                        List.of(new Rollout("pool", "v2", 12_000, 0, stage)),
                        0,
                        List.of(),
                        Set.of(),
                        List.of(),
                        pausedTrials,
                        Moment.LONG_AGO),
                1,
                0);
    }

    private long countAllowed(String version, int requests) {
        long count = 0;
        for (int index = 0; index < requests; index++) {
            VersionRule rule = pools.versionRule("pool", true);
            count += rule.allows(version) ? 1 : 0;
        }
        return count;
    }

    @Test
    void givesAVersionUnderTrialLessThanItsAllowedShare() {
        applyView(RolloutStage.RUNNING, "v1", "v2");
        assertThat(countAllowed("v2", 1_000)).isBetween(60L, 80L);
    }

    /** Guards against callers who get bad answers of a version long after they have shown what they can. */
    @Test
    void givesAVersionNoRequestsWhileItsTrialIsPaused() {
        applyView(RolloutStage.RUNNING, Set.of("pool"), "v1", "v2");
        assertThat(countAllowed("v2", 1_000)).isZero();
        applyView(RolloutStage.RUNNING, Set.of("other"), "v1", "v2");
        assertThat(countAllowed("v2", 1_000)).isPositive();
        applyView(RolloutStage.MOVING, Set.of("pool"), "v1", "v2");
        assertThat(countAllowed("v2", 1_000)).isEqualTo(1_000);
    }

    @Test
    void sendsNoRetryToAVersionUnderTrial() {
        applyView(RolloutStage.RUNNING, "v1", "v2");
        assertThat(pools.versionRule("pool", false).allows("v2")).isFalse();
    }

    /** Guards against requests that wait for a version which runs in no failure domain that they may reach. */
    @Test
    void triesAVersionOnlyWhereItsRequestsMayRun() {
        applyView(RolloutStage.RUNNING, "v1", "v2");
        RequestTerms elsewhere = new RequestTerms(0, List.of("b"));
        for (int count = 0; count < 100; count++) {
            assertThat(pools.versionRule("pool", true, elsewhere).allows("v1")).isTrue();
        }
        applyView(RolloutStage.ROLLED_BACK, "v1", "v2");
        assertThat(pools.versionRule("pool", true, elsewhere).allows("v2")).isFalse();
    }

    @Test
    void sendsNothingToAVersionThatWasRolledBack() {
        applyView(RolloutStage.ROLLED_BACK, "v1", "v2");
        assertThat(countAllowed("v2", 100)).isZero();
        assertThat(countAllowed("v1", 100)).isEqualTo(100);
    }

    @Test
    void sendsAllRequestsToTheTargetOfACompletedRollout() {
        applyView(RolloutStage.COMPLETED, "v1", "v2");
        assertThat(countAllowed("v1", 100)).isZero();
    }

    /**
     * Guards against a pool that serves nothing after upstreams of a later version have replaced those of the target.
     */
    @Test
    void allowsOtherVersionsIfNoUpstreamOfTheTargetIsLeft() {
        applyView(RolloutStage.COMPLETED, "v3");
        assertThat(countAllowed("v3", 100)).isEqualTo(100);
    }
}
