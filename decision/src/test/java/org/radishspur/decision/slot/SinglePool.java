package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.UpstreamPool;
import org.radishspur.decision.dispatch.VersionRule;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.Upstream;

/**
 * Provides a scheduler under test with one pool, whose upstreams and organisations the test sets.
 */
final class SinglePool implements SlotScheduler.Pools {
    static final String POOL = "pool";

    private final PoolDispatcher dispatcher;
    private final Map<String, OrganisationRule> organisations = new HashMap<>();

    SinglePool(String scheduler, String failureDomain, int slots) {
        dispatcher = new PoolDispatcher(new UpstreamPool(scheduler, failureDomain, slots));
    }

    static Upstream engine(int number, String failureDomain, int slots) {
        return new Upstream(
                "e" + number, 1, POOL, "10.0.0." + number + ":80", failureDomain, "v1", slots, false, false);
    }

    void setUpstreams(List<Upstream> listed, int schedulers) {
        dispatcher.upstreams().refresh(listed);
        dispatcher.upstreams().setSchedulerCount(schedulers);
    }

    void setOrganisation(OrganisationRule rule) {
        organisations.put(rule.name(), rule);
    }

    UpstreamPool upstreams() {
        return dispatcher.upstreams();
    }

    /** {@inheritDoc} */
    @Override
    public PoolDispatcher dispatcher(String pool) {
        return dispatcher;
    }

    /** {@inheritDoc} */
    @Override
    public Collection<PoolDispatcher> dispatchers() {
        return new ArrayList<>(List.of(dispatcher));
    }

    /** {@inheritDoc} */
    @Override
    public VersionRule versionRule(String pool, boolean allowTrialVersion) {
        return VersionRule.Any.INSTANCE;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<OrganisationRule> organisationRule(String name) {
        return Optional.ofNullable(organisations.get(name));
    }
}
