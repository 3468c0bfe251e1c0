package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.Ticket;
import org.radishspur.decision.dispatch.UpstreamBoard;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.dispatch.VersionRule;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.PoolRule;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.caller.RetryBudget;
import org.radishspur.replication.state.CatalogueState.Rollout;
import org.radishspur.replication.state.CatalogueState.RolloutStage;

/**
 * Holds the dispatchers of all pools at one entry and keeps them in step with the view. The traffic thread owns it.
 */
final class PoolSet {
    /**
     * The part of the allowed exposure that a version under trial gets; the rest covers retries, and that entries see the
     * end of a trial a moment apart.
     */
    private static final double TRIAL_PART = 0.7;

    /** A slot count for upstreams of which neither the list nor the catalogue tells one. */
    private static final int UNKNOWN_SLOTS = 4;

    /** How many entries share the budget of retries at most, where their number isn't known yet. */
    private static final int LEAST_ENTRIES = 4;

    private final String entry;
    private final String failureDomain;
    private final double greatestTrialShare;
    private final double retryShare;
    private final int retrySlack;
    private final GrantListener listener;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Map<String, Rollout> rollouts = new HashMap<>();
    private final Map<String, Double> trialDebt = new HashMap<>();
    private int entries = LEAST_ENTRIES;

    PoolSet(
            String entry,
            String failureDomain,
            double greatestTrialShare,
            double retryShare,
            int retrySlack,
            GrantListener listener) {
        this.entry = entry;
        this.failureDomain = failureDomain;
        this.greatestTrialShare = greatestTrialShare;
        this.retryShare = retryShare;
        this.retrySlack = retrySlack;
        this.listener = listener;
    }

    void apply(EntryView view) {
        entries = Math.max(LEAST_ENTRIES, view.entries().size());
        view.rollouts().forEach(rollout -> rollouts.put(rollout.pool(), rollout));
        Map<String, List<Upstream>> listed = new HashMap<>();
        view.hosts()
                .upstreams()
                .forEach(upstream -> listed.computeIfAbsent(upstream.pool(), key -> new ArrayList<>())
                        .add(upstream));
        Set<String> names = new HashSet<>(listed.keySet());
        names.addAll(dispatchers.keySet());
        for (String name : names) {
            Optional<PoolRule> rule = view.catalogue().flatMap(catalogue -> catalogue.pool(name));
            if (rule.isPresent() || dispatchers.containsKey(name)) {
                UpstreamBoard board = dispatcher(name, view.catalogue()).board();
                board.entries(view.entries().size());
                board.refresh(listed.getOrDefault(name, List.of()));
            }
        }
    }

    PoolDispatcher dispatcher(String pool, Optional<Catalogue> catalogue) {
        return dispatchers.computeIfAbsent(pool, name -> {
            Optional<PoolRule> rule = catalogue.flatMap(present -> present.pool(name));
            int stated = rule.isPresent() ? rule.get().slots() : 0;
            int slots = stated > 0 ? stated : UNKNOWN_SLOTS;
            return new PoolDispatcher(new UpstreamBoard(entry, failureDomain, slots));
        });
    }

    RetryBudget budget(String pool) {
        // The slack is shared between the entries: each may spend its part at once, and earns more with its requests.
        return budgets.computeIfAbsent(
                pool, name -> new RetryBudget(retryShare / 2, Math.max(1, retrySlack / entries / 2)));
    }

    /** Says which versions may serve the next request of a pool. */
    VersionRule versions(String pool, boolean mayTry) {
        Rollout rollout = rollouts.get(pool);
        if (rollout == null) {
            return VersionRule.Any.INSTANCE;
        }
        boolean targetThere =
                dispatchers.containsKey(pool) && dispatchers.get(pool).board().hasVersion(rollout.target());
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
        double debt = trialDebt.merge(pool, greatestTrialShare * TRIAL_PART, Double::sum);
        if (debt < 1) {
            return false;
        }
        trialDebt.put(pool, debt - 1);
        return true;
    }

    /** Hands out what has become free in every pool where requests wait. */
    void advance(long now) {
        for (PoolDispatcher dispatcher : new ArrayList<>(dispatchers.values())) {
            advance(dispatcher, now);
        }
    }

    void advance(PoolDispatcher dispatcher, long now) {
        if (dispatcher.waiting() > 0) {
            dispatcher.advance(now).forEach(listener::onDecision);
        }
    }

    void release(PoolDispatcher dispatcher, UpstreamLoad upstream, Ticket ticket, long now) {
        dispatcher.release(upstream, ticket, now);
        advance(dispatcher, now);
    }

    /** Returns the usual share of failures in the pool of an upstream. */
    double usualFailures(UpstreamLoad upstream) {
        PoolDispatcher dispatcher = dispatchers.get(upstream.upstream().pool());
        return dispatcher == null ? 0 : dispatcher.board().usualFailures();
    }

    Map<String, PoolDispatcher> dispatchers() {
        return dispatchers;
    }

    /**
     * Takes what a dispatcher has decided for a waiting request.
     */
    interface GrantListener {
        /**
         * Takes a decision.
         *
         * @param decision the decision.
         */
        void onDecision(PoolDispatcher.Decision decision);
    }
}
