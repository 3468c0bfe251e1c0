package org.radishspur.node.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.move.RollbackReason;
import org.radishspur.decision.move.VersionComparison;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.decision.permit.PermitAction;
import org.radishspur.decision.permit.PermitRequest;
import org.radishspur.decision.permit.PoolScheduler;
import org.radishspur.decision.permit.SchedulerOptions;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.Revisioned;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.Tables;
import org.radishspur.model.table.UpstreamRow;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.replication.state.MoveTable;

/**
 * Runs the schedulers of the pools whose queues this node owns, and answers requests for permits from entry nodes.
 */
final class PoolOwnerService {
    /** How long a new owner grants nothing, unless all entry nodes have registered their permits earlier. */
    private static final long REGISTRATION_WAIT_MICROS = 400_000;
    /** When to retry a request for a pool that isn't in the tables, in milliseconds. */
    private static final long UNKNOWN_POOL_RETRY_MILLIS = 1_000;
    /** How long a permit may be in transit before it counts as lost if its entry node doesn't list it. */
    private static final long RECONCILE_GRACE_MICROS = 2_500_000;

    /** How often the schedulers are checked for due timers. */
    private static final long TIMER_INTERVAL_MILLIS = 25;
    /** How often the moves of the owned pools are checked for their next step. */
    private static final long MOVE_INTERVAL_MILLIS = 200;
    /** How often lost entries are looked for. */
    private static final long CONTACT_INTERVAL_MILLIS = 500;
    /** How long a proposed change of a move has to take effect before it is proposed again. */
    private static final long PROPOSAL_RETRY_MILLIS = 3_000;

    private final ControlLoop loop;
    private final String ownerIdentity;
    private final LeaderService.Sender sender;
    private final Reporter reporter;
    private final DecisionLog decisionLog = new DecisionLog();
    private final Map<String, OwnedPool> ownedPools = new TreeMap<>();
    private final Set<ClusterView.Member> entryMembers = new HashSet<>();
    private final EntryContacts contacts = new EntryContacts();
    private final DeferredPermits deferred;
    private Tables tables = Tables.EMPTY;
    private Map<String, Map<String, Integer>> crashCountsByPool = Map.of();
    private final Set<Move> pendingProposals = new HashSet<>();
    private Map<String, Move> moves = Map.of();
    private Set<String> evacuatedDomains = Set.of();
    private boolean decisionScheduled;

    PoolOwnerService(
            ControlLoop loop,
            String ownerIdentity,
            LeaderService.Sender sender,
            Reporter reporter,
            long maxDeferralMillis) {
        this.loop = loop;
        this.ownerIdentity = ownerIdentity;
        this.sender = sender;
        this.reporter = reporter;
        this.deferred = new DeferredPermits(maxDeferralMillis);
        loop.repeat(this::runDueTimers, TIMER_INTERVAL_MILLIS);
        loop.repeat(this::advanceMoves, MOVE_INTERVAL_MILLIS);
        loop.repeat(this::dropLostEntries, CONTACT_INTERVAL_MILLIS);
    }

    void onTables(Tables changed) {
        tables = changed;
        ownedPools.forEach((name, owned) -> {
            PoolRow row = changed.pool(name).orElse(null);
            if (row != null) {
                owned.scheduler.configure(row);
            }
        });
        applyVersionSplits();
        resumeDeferred();
    }

    /**
     * Handles the held messages that the tables and the ownership of queues now decide. Registrations come first, because
     * they show which slots are taken.
     */
    private void resumeDeferred() {
        deferred.removeRegistrations(tables, reporter::isOwner)
                .forEach(held -> register(findOrCreatePool(held.register().pool()), held.node(), held.register()));
        deferred.removeDecided(tables, reporter::isOwner)
                .forEach(held -> onPermitRequest(
                        held.node(),
                        held.message()
                                .afterWaiting(TimeUnit.MILLISECONDS.toMicros(loop.nowMillis() - held.receivedAt()))));
    }

    void onView(ClusterView view) {
        entryMembers.clear();
        entryMembers.addAll(view.entries());
        dropLostEntries();
        resumeDeferred();
        requestDecision();
    }

    private void dropLostEntries() {
        List<ClusterView.Member> lost = contacts.removeLost(entryMembers, loop.nowMillis());
        for (ClusterView.Member member : lost) {
            ownedPools.values().forEach(owned -> owned.scheduler.dropEntry(member.node(), member.incarnation()));
            deferred.drop(member);
        }
        if (!lost.isEmpty()) {
            requestDecision();
        }
    }

    void onSuspects(Map<String, Map<String, Integer>> suspects) {
        crashCountsByPool = Map.copyOf(suspects);
        suspects.forEach((pool, crashCounts) -> {
            OwnedPool owned = ownedPools.get(pool);
            if (owned != null) {
                owned.scheduler.replaceCrashCounts(crashCounts, loop.nowMicros());
            }
        });
        requestDecision();
    }

    /** Replaces the set of failure domains whose upstreams get no new requests. */
    void onEvacuated(Set<String> failureDomains) {
        evacuatedDomains = Set.copyOf(failureDomains);
        ownedPools.values().forEach(owned -> owned.scheduler.evacuate(evacuatedDomains));
        requestDecision();
    }

    /** Replaces the moves; their version splits take effect with the tables, which the caller passes in next. */
    void onMovesWithTables(Map<String, Move> changed) {
        moves = Map.copyOf(changed);
    }

    void onMoves(Map<String, Move> changed) {
        moves = Map.copyOf(changed);
        applyVersionSplits();
    }

    private void applyVersionSplits() {
        Map<String, VersionSplit> splits = MoveTable.versionSplits(tables, moves);
        ownedPools.forEach((pool, owned) -> {
            Map<String, VersionSplit> poolSplits = new HashMap<>(splits);
            poolSplits.keySet().removeIf(route -> !pool.equals(poolOf(route)));
            owned.scheduler.replaceVersionSplits(poolSplits);
        });
        requestDecision();
    }

    private String poolOf(String route) {
        Revisioned<RouteRow> row = tables.routes().get(route);
        return row == null ? "" : row.row().pool();
    }

    /** Proposes the next steps of the moves in owned pools, and sends no more requests to a version found faulty. */
    private void advanceMoves() {
        for (Move move : moves.values()) {
            OwnedPool owned = ownedPools.get(poolOf(move.route()));
            if (owned == null || !reporter.isOwner(poolOf(move.route())) || pendingProposals.contains(move)) {
                continue;
            }
            VersionComparison comparison = owned.scheduler.versionComparison(move.route());
            if (comparison.detectedFault() != RollbackReason.NONE) {
                owned.scheduler.haltNewVersion(move.route());
            }
            MoveDriver.INSTANCE
                    .decide(move, comparison, System.currentTimeMillis())
                    .ifPresent(proposal -> {
                        pendingProposals.add(move);
                        loop.schedule(() -> pendingProposals.remove(move), PROPOSAL_RETRY_MILLIS);
                        reporter.propose(proposal);
                    });
        }
    }

    void onPermitRequest(String node, PeerMessage.PermitAcquire request) {
        contacts.recordMessage(new ClusterView.Member(node, request.id().incarnation()), loop.nowMillis());
        OwnedPool owned = findOrCreatePool(request.pool());
        if (owned == null) {
            if (!DeferredPermits.mayBecomeKnown(request, tables) || !deferred.defer(node, request, loop.nowMillis())) {
                refuseUnowned(node, request);
            }
            return;
        }
        // Not checked for the owner: the view of the entry may be newer than the one of this node.
        owned.scheduler.submit(requestOf(request), loop.nowMicros());
        requestDecision();
    }

    /** Refuses a request, as not run, because this node has no queue for its pool. */
    private void refuseUnowned(String node, PeerMessage.PermitAcquire request) {
        sender.send(
                node,
                new PeerMessage.PermitRefused(
                        request.pool(),
                        request.id(),
                        Refusal.notRun(
                                RefusalReason.NO_UPSTREAM,
                                tables.pool(request.pool()).isEmpty()
                                        ? "The owner of the pool's queue does not have the pool in its tables."
                                        : "The node does not own the pool's queue.",
                                UNKNOWN_POOL_RETRY_MILLIS)));
    }

    void onCancel(PeerMessage.PermitCancel cancel) {
        deferred.forget(cancel.id());
        OwnedPool owned = ownedPools.get(cancel.pool());
        if (owned != null) {
            owned.scheduler.cancel(cancel.id(), loop.nowMicros());
            requestDecision();
        }
    }

    void onFirstToken(PeerMessage.PermitFirstToken first) {
        OwnedPool owned = ownedPools.get(first.pool());
        if (owned != null) {
            owned.scheduler.firstToken(first.id(), loop.nowMicros());
        }
    }

    void onUpstreamStatus(PeerMessage.UpstreamStatus status) {
        OwnedPool owned = ownedPools.get(status.pool());
        if (owned == null) {
            return;
        }
        owned.scheduler.markAlive(status.upstream(), status.incarnation());
        if (status.leaving()) {
            owned.scheduler.markLeaving(status.upstream());
        }
        if (status.running() >= 0) {
            owned.scheduler.loadReported(status.upstream(), status.running(), status.waiting(), loop.nowMicros());
        }
    }

    void onRelease(PeerMessage.PermitRelease release) {
        deferred.forget(release.id());
        OwnedPool owned = ownedPools.get(release.pool());
        if (owned != null) {
            owned.scheduler.finish(release.id(), release.outcome(), loop.nowMicros());
            advanceMoves();
            requestDecision();
        }
    }

    void onRegister(String node, PeerMessage.PermitRegister register) {
        contacts.recordMessage(new ClusterView.Member(node, register.incarnation()), loop.nowMillis());
        OwnedPool owned = findOrCreatePool(register.pool());
        if (owned == null) {
            deferred.defer(node, register, loop.nowMillis());
            return;
        }
        deferred.removeRegistration(node, register.pool());
        register(owned, node, register);
        Set<PermitId> listed = new HashSet<>(register.waiting());
        register.inUse().forEach(permit -> listed.add(permit.request().id()));
        owned.scheduler.reconcile(node, register.incarnation(), listed, RECONCILE_GRACE_MICROS, loop.nowMicros());
        requestDecision();
    }

    /** Records the permits that an entry uses. What the entry doesn't list stays, as the registration may be an old one. */
    private void register(OwnedPool owned, String node, PeerMessage.PermitRegister register) {
        owned.scheduler.readmitEntry(node, register.incarnation());
        for (PeerMessage.PermitInUse permit : register.inUse()) {
            owned.scheduler.registerInFlight(requestOf(permit.request()), permit.upstream(), loop.nowMicros());
            owned.scheduler.silenceReported(permit.request().id(), permit.silent(), loop.nowMicros());
        }
        owned.registeredNodes.add(node);
        // A node that has just started may get registrations before it has the list of the entries.
        boolean allRegistered = !entryMembers.isEmpty()
                && entryMembers.stream().allMatch(member -> owned.registeredNodes.contains(member.node()));
        if (allRegistered) {
            owned.scheduler.pauseGrantsUntil(0);
        }
        requestDecision();
    }

    Map<String, PoolScheduler> schedulers() {
        Map<String, PoolScheduler> schedulers = new TreeMap<>();
        ownedPools.forEach((name, owned) -> schedulers.put(name, owned.scheduler));
        return schedulers;
    }

    private OwnedPool findOrCreatePool(String pool) {
        OwnedPool owned = ownedPools.get(pool);
        PoolRow row = tables.pool(pool).orElse(null);
        if (owned == null && row != null) {
            // Grants nothing until the entry nodes have registered their permits in use, or two owners could grant the
            // same slots.
            owned = new OwnedPool(new PoolScheduler(row, SchedulerOptions.DEFAULTS, ownerIdentity));
            owned.scheduler.pauseGrantsUntil(loop.nowMicros() + REGISTRATION_WAIT_MICROS);
            owned.scheduler.evacuate(evacuatedDomains);
            owned.scheduler.replaceCrashCounts(crashCountsByPool.getOrDefault(pool, Map.of()), loop.nowMicros());
            ownedPools.put(pool, owned);
            applyVersionSplits();
            ComponentLog.OWNER.info("This node now owns the queue of pool " + pool + '.');
        }
        return owned;
    }

    private PermitRequest requestOf(PeerMessage.PermitAcquire request) {
        return new PermitRequest(
                request.id(),
                request.tier(),
                request.organisation(),
                request.route(),
                loop.nowMicros() + request.remainingMicros(),
                request.size(),
                request.fingerprint());
    }

    private void runDueTimers() {
        if (deferred.size() > 0) {
            // This node may have become the owner of a queue, as another one is unreachable.
            resumeDeferred();
        }
        deferred.removeExpired(loop.nowMillis()).forEach(held -> refuseUnowned(held.node(), held.message()));
        long now = loop.nowMicros();
        if (ownedPools.values().stream().anyMatch(owned -> owned.scheduler.nextDecisionAt() <= now)) {
            decide();
        }
    }

    private void requestDecision() {
        if (!decisionScheduled) {
            decisionScheduled = true;
            loop.execute(() -> {
                decisionScheduled = false;
                decide();
            });
        }
    }

    private void decide() {
        for (Map.Entry<String, OwnedPool> entry : ownedPools.entrySet()) {
            for (PermitAction action : entry.getValue().scheduler.decide(loop.nowMicros())) {
                execute(entry.getKey(), action);
            }
        }
    }

    private void execute(String pool, PermitAction action) {
        if (action instanceof PermitAction.Grant grant) {
            sender.send(
                    grant.id().node(),
                    new PeerMessage.PermitGranted(
                            pool, grant.id(), grant.upstream(), addressOf(pool, grant.upstream())));
        } else if (action instanceof PermitAction.Refuse refuse) {
            sender.send(refuse.id().node(), new PeerMessage.PermitRefused(pool, refuse.id(), refuse.refusal()));
        } else if (action instanceof PermitAction.CrashSuspected suspected) {
            reporter.reportCrash(pool, suspected.fingerprint(), suspected.crashId());
        } else if (action instanceof PermitAction.SuspectCleared cleared) {
            reporter.clearSuspect(pool, cleared.fingerprint());
        } else if (action instanceof PermitAction.Ejected ejected) {
            decisionLog.log(pool, ejected);
        } else if (action instanceof PermitAction.QueueStalled stalled) {
            decisionLog.log(pool, stalled);
        } else if (action instanceof PermitAction.DeadlineUnreachable refused) {
            decisionLog.log(pool, refused, loop.nowMicros());
        }
    }

    private String addressOf(String pool, String upstream) {
        OwnedPool owned = ownedPools.get(pool);
        return owned.scheduler.upstreams().stream()
                .map(state -> state.row())
                .filter(row -> row.name().equals(upstream))
                .map(UpstreamRow::address)
                .findFirst()
                .orElse("");
    }

    /**
     * Reports the findings of a queue's owner to the control leader.
     */
    interface Reporter {
        /**
         * Returns whether this node currently owns a pool's queue. Only the owner proposes changes of the moves there.
         *
         * @param pool the name of the pool.
         * @return whether it does.
         */
        boolean isOwner(String pool);

        /**
         * Proposes a change of a move.
         *
         * @param proposal the change.
         */
        void propose(MoveDriver.Proposal proposal);

        /**
         * Reports a request that was in flight at an upstream when it crashed.
         *
         * @param pool the name of the pool.
         * @param fingerprint the digest of the request's content.
         * @param crashId identifies the crash.
         */
        void reportCrash(String pool, String fingerprint, String crashId);

        /**
         * Reports that a request suspected of causing crashes has completed without one.
         *
         * @param pool the name of the pool.
         * @param fingerprint the digest of the request's content.
         */
        void clearSuspect(String pool, String fingerprint);
    }

    /**
     * Holds the scheduler of one pool and the entry nodes that have registered their permits with it.
     */
    private static final class OwnedPool {
        private final PoolScheduler scheduler;
        private final Set<String> registeredNodes = new HashSet<>();

        OwnedPool(PoolScheduler scheduler) {
            this.scheduler = scheduler;
        }
    }
}
