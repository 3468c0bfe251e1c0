package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.dispatch.UpstreamPool;
import org.radishspur.decision.dispatch.VersionRule;
import org.radishspur.decision.slot.SchedulerChoice;
import org.radishspur.decision.slot.SlotScheduler;
import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.PoolRule;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.replication.state.CatalogueState.Rollout;
import org.radishspur.replication.state.CatalogueState.RolloutStage;

/**
 * Holds the dispatchers of all pools and updates them with each new view. The traffic thread owns it.
 */
public final class PoolSet implements SlotScheduler.Pools {
    /**
     * The part of {@link #maxTrialShare} that a version under trial gets. The rest covers retries and the time in which
     * some schedulers have not yet received the end of a trial.
     */
    private static final double TRIAL_SHARE_FACTOR = 0.7;

    /** The number of slots of an upstream for which neither the host list nor the catalogue states one. */
    private static final int DEFAULT_SLOTS = 4;

    private final String self;
    private final String failureDomain;
    private final double maxTrialShare;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private final Map<String, Rollout> rollouts = new HashMap<>();
    private final Map<String, Double> trialCredit = new HashMap<>();
    private final Set<String> usableWhileCold = new HashSet<>();
    private final Map<String, Integer> preferenceByRun = new HashMap<>();
    private ConfirmedView view = ConfirmedView.EMPTY;
    private double quotaShare = 1;
    private boolean limitedToShare;

    /**
     * Creates a set without pools.
     *
     * @param self the address of this process, by which its choices among upstreams differ from those of others.
     * @param failureDomain the failure domain of this process.
     * @param maxTrialShare the maximum share of requests that a version under trial may get, between 0 and 1.
     */
    public PoolSet(String self, String failureDomain, double maxTrialShare) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.maxTrialShare = maxTrialShare;
    }

    /**
     * Applies a newer view to all pools.
     *
     * @param newer the view.
     * @param schedulers the number of processes, this one included, that grant slots of the pools independently of each
     *     other.
     * @param now the monotonic clock in milliseconds.
     */
    public void apply(ConfirmedView newer, int schedulers, long now) {
        view = newer;
        view.rollouts().forEach(rollout -> rollouts.put(rollout.pool(), rollout));
        rankSchedulers();
        boolean reports = !preferenceByRun.isEmpty();
        Map<String, List<Upstream>> upstreamsByPool = new HashMap<>();
        view.hosts()
                .upstreams()
                .forEach(upstream -> upstreamsByPool
                        .computeIfAbsent(upstream.pool(), key -> new ArrayList<>())
                        .add(upstream));
        Set<String> poolNames = new HashSet<>(upstreamsByPool.keySet());
        poolNames.addAll(dispatchers.keySet());
        for (String name : poolNames) {
            if (rule(name).isPresent() || dispatchers.containsKey(name)) {
                UpstreamPool upstreams = dispatcher(name).upstreams();
                upstreams.setSchedulerCount(schedulers);
                upstreams.setColdStart(
                        rule(name).map(PoolRule::coldStart).orElse(ColdStart.NONE), usableWhileCold::contains);
                upstreams.setLimitSharing(
                        run -> preferenceByRun.getOrDefault(run, 0),
                        reports ? schedulers : 1,
                        reports ? 1 : 1.0 / schedulers);
                upstreams.refresh(upstreamsByPool.getOrDefault(name, List.of()));
                upstreams.setEvacuatedDomains(view.evacuated(), now);
            }
        }
    }

    /** Passes the name and the upstreams of each pool to a receiver. */
    void forEachPool(BiConsumer<String, UpstreamPool> receiver) {
        dispatchers.forEach((name, dispatcher) -> receiver.accept(name, dispatcher.upstreams()));
    }

    /**
     * Finds the position of this process among the schedulers of each upstream, and the upstreams that it may use while
     * they are cold: those for which it is the preferred scheduler. An entry has no position, as its scheduler doesn't
     * report to others.
     */
    private void rankSchedulers() {
        usableWhileCold.clear();
        preferenceByRun.clear();
        Map<String, String> failureDomains = view.controlHosts().stream()
                .collect(Collectors.toMap(ControlHost::address, ControlHost::failureDomain, (one, other) -> one));
        if (!failureDomains.containsKey(self)) {
            return;
        }
        for (Upstream upstream : view.hosts().upstreams()) {
            String run = upstream.runId();
            int position = SchedulerChoice.sortByPreference(run, upstream.failureDomain(), failureDomains)
                    .indexOf(self);
            preferenceByRun.put(run, position);
            if (position == 0) {
                usableWhileCold.add(run);
            }
        }
    }

    /**
     * Limits the requests that this process has in progress in each pool to its share of the slots. This must precede all
     * other calls.
     */
    public void limitToShare() {
        limitedToShare = true;
    }

    /**
     * Sets the share of each organisation's quota that is granted here.
     *
     * @param share the share, 1 if the usage is shared with all other processes that grant slots.
     */
    public void setQuotaShare(double share) {
        quotaShare = share;
    }

    private Optional<PoolRule> rule(String pool) {
        return view.catalogue().flatMap(catalogue -> catalogue.pool(pool));
    }

    /** {@inheritDoc} */
    @Override
    public PoolDispatcher dispatcher(String pool) {
        return dispatchers.computeIfAbsent(pool, name -> {
            int configured = rule(name).map(PoolRule::slots).orElse(0);
            int slots = configured > 0 ? configured : DEFAULT_SLOTS;
            UpstreamPool upstreams = new UpstreamPool(self, failureDomain, slots);
            if (limitedToShare) {
                upstreams.limitToShare();
            }
            return new PoolDispatcher(upstreams);
        });
    }

    /** {@inheritDoc} */
    @Override
    public Collection<PoolDispatcher> dispatchers() {
        return dispatchers.values();
    }

    /** {@inheritDoc} */
    @Override
    public VersionRule versionRule(String pool, boolean trialAllowed) {
        return versionRule(pool, trialAllowed, RequestTerms.NONE);
    }

    /** {@inheritDoc} A version without an upstream that may run the request counts as not listed. */
    @Override
    public VersionRule versionRule(String pool, boolean trialAllowed, RequestTerms terms) {
        Rollout rollout = rollouts.get(pool);
        if (rollout == null) {
            return VersionRule.Any.INSTANCE;
        }
        boolean targetListed = dispatchers.containsKey(pool)
                && dispatchers.get(pool).upstreams().hasVersion(rollout.target(), terms);
        VersionRule otherVersions = new VersionRule.Except(rollout.target());
        if (rollout.stage() == RolloutStage.ROLLED_BACK) {
            return otherVersions;
        }
        if (rollout.stage() == RolloutStage.RUNNING) {
            return trialAllowed && targetListed && !view.pausedTrials().contains(pool) && isTrialDue(pool)
                    ? new VersionRule.Only(rollout.target())
                    : otherVersions;
        }
        return targetListed ? new VersionRule.Only(rollout.target()) : VersionRule.Any.INSTANCE;
    }

    private boolean isTrialDue(String pool) {
        double credit = trialCredit.merge(pool, maxTrialShare * TRIAL_SHARE_FACTOR, Double::sum);
        if (credit < 1) {
            return false;
        }
        trialCredit.put(pool, credit - 1);
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<OrganisationRule> organisationRule(String name) {
        return Optional.ofNullable(view.organisations().get(name))
                .map(rule -> quotaShare < 1 ? rule.withShare(quotaShare) : rule);
    }

    /** Returns the number of requests that were granted here and are in progress in a failure domain. */
    int inProgress(String evacuatedDomain) {
        return dispatchers.values().stream()
                .flatMap(dispatcher -> dispatcher.upstreams().loads().stream())
                .filter(load -> load.upstream().failureDomain().equals(evacuatedDomain))
                .mapToInt(UpstreamLoad::ownInProgress)
                .sum();
    }

    /**
     * Returns whether an upstream may get a request by this view, which may be newer than that of the scheduler that
     * granted the slot.
     *
     * @param upstream the upstream.
     * @param now the monotonic clock in milliseconds.
     * @return whether its version is not rolled back and the upstream accepts requests.
     */
    public boolean isUsable(UpstreamLoad upstream, long now) {
        Rollout rollout = rollouts.get(upstream.upstream().pool());
        boolean rolledBack = rollout != null
                && rollout.stage() == RolloutStage.ROLLED_BACK
                && rollout.target().equals(upstream.upstream().version());
        return !rolledBack && dispatcher(upstream.upstream().pool()).upstreams().acceptsRequests(upstream, now);
    }

    /** Returns the usual share of failed responses in the pool of an upstream, or 0 if the pool is unknown. */
    double usualFailureShare(UpstreamLoad upstream) {
        PoolDispatcher dispatcher = dispatchers.get(upstream.upstream().pool());
        return dispatcher == null ? 0 : dispatcher.upstreams().usualFailureShare();
    }
}
