package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.radishspur.decision.dispatch.PoolDispatcher;
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
 * Holds the dispatchers of all pools and keeps them in step with the view. The traffic thread owns it.
 */
public final class PoolSet implements SlotScheduler.Pools {
    /**
     * The part of the allowed exposure that a version under trial gets; the rest covers retries, and that schedulers see the
     * end of a trial a moment apart.
     */
    private static final double TRIAL_SHARE_FACTOR = 0.7;

    /** A slot count for upstreams of which neither the list nor the catalogue tells one. */
    private static final int DEFAULT_SLOTS = 4;

    private final String self;
    private final String failureDomain;
    private final double greatestTrialShare;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private final Map<String, Rollout> rollouts = new HashMap<>();
    private final Map<String, Double> trialCredit = new HashMap<>();
    private final Set<String> usableWhileCold = new HashSet<>();
    private ConfirmedView view = ConfirmedView.NOTHING;
    private double quotaPart = 1;

    /**
     * Creates a set without pools.
     *
     * @param self the name of this process, which sets its choices apart from those of others.
     * @param failureDomain its failure domain.
     * @param greatestTrialShare the greatest share of requests that a version under trial may get.
     */
    public PoolSet(String self, String failureDomain, double greatestTrialShare) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.greatestTrialShare = greatestTrialShare;
    }

    /**
     * Takes over a newer view.
     *
     * @param newer the view.
     * @param deciders how many processes grant slots of the pools without asking each other.
     * @param now the clock in milliseconds.
     */
    public void apply(ConfirmedView newer, int deciders, long now) {
        view = newer;
        view.rollouts().forEach(rollout -> rollouts.put(rollout.pool(), rollout));
        chooseUsableWhileCold();
        Map<String, List<Upstream>> listed = new HashMap<>();
        view.hosts()
                .upstreams()
                .forEach(upstream -> listed.computeIfAbsent(upstream.pool(), key -> new ArrayList<>())
                        .add(upstream));
        Set<String> names = new HashSet<>(listed.keySet());
        names.addAll(dispatchers.keySet());
        for (String name : names) {
            if (rule(name).isPresent() || dispatchers.containsKey(name)) {
                UpstreamPool upstreams = dispatcher(name).upstreams();
                upstreams.schedulers(deciders);
                upstreams.coldStart(
                        rule(name).map(PoolRule::coldStart).orElse(ColdStart.NONE), usableWhileCold::contains);
                upstreams.refresh(listed.getOrDefault(name, List.of()));
                upstreams.evacuate(view.evacuated(), now);
            }
        }
    }

    /** Finds the upstreams that this process may use while they are cold: those of which it is the first scheduler. */
    private void chooseUsableWhileCold() {
        usableWhileCold.clear();
        Map<String, String> schedulers = view.controls().stream()
                .collect(Collectors.toMap(ControlHost::address, ControlHost::failureDomain, (one, other) -> one));
        if (schedulers.containsKey(self)) {
            view.hosts().upstreams().stream()
                    .filter(upstream -> SchedulerChoice.inOrder(upstream.run(), upstream.failureDomain(), schedulers)
                            .get(0)
                            .equals(self))
                    .forEach(upstream -> usableWhileCold.add(upstream.run()));
        }
    }

    /**
     * Sets which part of the organisations' quotas is granted here.
     *
     * @param part the part, 1 where it is shared with all others that grant.
     */
    public void quotaPart(double part) {
        quotaPart = part;
    }

    private Optional<PoolRule> rule(String pool) {
        return view.catalogue().flatMap(catalogue -> catalogue.pool(pool));
    }

    /** {@inheritDoc} */
    @Override
    public PoolDispatcher dispatcher(String pool) {
        return dispatchers.computeIfAbsent(pool, name -> {
            int stated = rule(name).map(PoolRule::slots).orElse(0);
            int slots = stated > 0 ? stated : DEFAULT_SLOTS;
            return new PoolDispatcher(new UpstreamPool(self, failureDomain, slots));
        });
    }

    /** {@inheritDoc} */
    @Override
    public Collection<PoolDispatcher> dispatchers() {
        return dispatchers.values();
    }

    /** {@inheritDoc} */
    @Override
    public VersionRule versions(String pool, boolean mayTry) {
        Rollout rollout = rollouts.get(pool);
        if (rollout == null) {
            return VersionRule.Any.INSTANCE;
        }
        boolean targetThere = dispatchers.containsKey(pool)
                && dispatchers.get(pool).upstreams().hasVersion(rollout.target());
        VersionRule rest = new VersionRule.Except(rollout.target());
        if (rollout.stage() == RolloutStage.ROLLED_BACK) {
            return rest;
        }
        if (rollout.stage() == RolloutStage.RUNNING) {
            return mayTry && targetThere && isTrialDue(pool) ? new VersionRule.Only(rollout.target()) : rest;
        }
        return targetThere ? new VersionRule.Only(rollout.target()) : VersionRule.Any.INSTANCE;
    }

    private boolean isTrialDue(String pool) {
        double debt = trialCredit.merge(pool, greatestTrialShare * TRIAL_SHARE_FACTOR, Double::sum);
        if (debt < 1) {
            return false;
        }
        trialCredit.put(pool, debt - 1);
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<OrganisationRule> organisation(String name) {
        return Optional.ofNullable(view.organisations().get(name))
                .map(rule -> quotaPart < 1 ? rule.withPart(quotaPart) : rule);
    }

    /** Counts the requests that were granted here and are in progress in a failure domain. */
    int inProgress(String evacuated) {
        return dispatchers.values().stream()
                .flatMap(dispatcher -> dispatcher.upstreams().loads().stream())
                .filter(load -> load.upstream().failureDomain().equals(evacuated))
                .mapToInt(UpstreamLoad::own)
                .sum();
    }

    /**
     * Returns whether an upstream may get a request that a scheduler has granted to it, whose view may be older than this one.
     *
     * @param upstream the upstream.
     * @return whether nothing is known against it.
     */
    public boolean mayUse(UpstreamLoad upstream) {
        Rollout rollout = rollouts.get(upstream.upstream().pool());
        boolean takenBack = rollout != null
                && rollout.stage() == RolloutStage.ROLLED_BACK
                && rollout.target().equals(upstream.upstream().version());
        return !takenBack && dispatcher(upstream.upstream().pool()).upstreams().takesWork(upstream);
    }

    /** Returns the usual share of failures in the pool of an upstream. */
    double usualFailureShare(UpstreamLoad upstream) {
        PoolDispatcher dispatcher = dispatchers.get(upstream.upstream().pool());
        return dispatcher == null ? 0 : dispatcher.upstreams().usualFailures();
    }
}
