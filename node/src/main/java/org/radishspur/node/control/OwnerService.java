package org.radishspur.node.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.move.TakeBackReason;
import org.radishspur.decision.move.VersionSplit;
import org.radishspur.decision.move.VersionWatch;
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
import org.radishspur.node.log.PartLog;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.replication.state.MoveTable;

/**
 * Runs the schedulers of the pools whose queues this node owns, and answers the entries that ask for permits.
 */
final class OwnerService {
    private static final long HOLD_MICROS = 400_000;
    private static final long GRACE_MICROS = 2_500_000;
    private static final long TICK_MILLIS = 25;
    private static final long DRIVE_MILLIS = 200;
    private static final long PROPOSAL_MILLIS = 3_000;

    private final ControlLoop loop;
    private final String identity;
    private final LeaderService.Sender sender;
    private final Reporter reporter;
    private final Map<String, Owned> pools = new TreeMap<>();
    private final Set<ClusterView.Member> members = new HashSet<>();
    private Tables tables = Tables.EMPTY;
    private final Set<Move> proposed = new HashSet<>();
    private Map<String, Move> moves = Map.of();
    private Set<String> evacuated = Set.of();
    private boolean decideScheduled;

    OwnerService(ControlLoop loop, String identity, LeaderService.Sender sender, Reporter reporter) {
        this.loop = loop;
        this.identity = identity;
        this.sender = sender;
        this.reporter = reporter;
        loop.repeat(this::tick, TICK_MILLIS);
        loop.repeat(this::driveMoves, DRIVE_MILLIS);
    }

    void onTables(Tables changed) {
        tables = changed;
        pools.forEach((name, owned) -> {
            PoolRow row = changed.pool(name).orElse(null);
            if (row != null) {
                owned.scheduler.configure(row);
            }
        });
        applyVersions();
    }

    void onView(ClusterView view) {
        for (ClusterView.Member member : members) {
            if (!view.entries().contains(member)) {
                pools.values().forEach(owned -> owned.scheduler.entryLost(member.node(), member.incarnation()));
            }
        }
        members.clear();
        members.addAll(view.entries());
        requestDecisions();
    }

    void onSuspects(Map<String, Map<String, Integer>> suspects) {
        suspects.forEach((pool, crashes) -> {
            Owned owned = pools.get(pool);
            if (owned != null) {
                owned.scheduler.suspects(crashes);
            }
        });
        requestDecisions();
    }

    /** Takes over the failure domains whose upstreams get no new request. */
    void onEvacuated(Set<String> failureDomains) {
        evacuated = Set.copyOf(failureDomains);
        pools.values().forEach(owned -> owned.scheduler.evacuate(evacuated));
        requestDecisions();
    }

    /** Takes over the moves that belong to tables which follow at once. */
    void onMovesWithTables(Map<String, Move> changed) {
        moves = Map.copyOf(changed);
    }

    void onMoves(Map<String, Move> changed) {
        moves = Map.copyOf(changed);
        applyVersions();
    }

    private void applyVersions() {
        Map<String, VersionSplit> all = MoveTable.splits(tables, moves);
        pools.forEach((pool, owned) -> {
            Map<String, VersionSplit> own = new HashMap<>(all);
            own.keySet().removeIf(route -> !pool.equals(poolOf(route)));
            owned.scheduler.versions(own);
        });
        requestDecisions();
    }

    private String poolOf(String route) {
        Revisioned<RouteRow> row = tables.routes().get(route);
        return row == null ? "" : row.row().pool();
    }

    /** Drives the moves of the pools that this node owns; a version with a fault gets nothing from here on. */
    private void driveMoves() {
        for (Move move : moves.values()) {
            Owned owned = pools.get(poolOf(move.route()));
            if (owned == null || !reporter.owns(poolOf(move.route())) || proposed.contains(move)) {
                continue;
            }
            VersionWatch watch = owned.scheduler.watch(move.route());
            if (watch.verdict() != TakeBackReason.NONE) {
                owned.scheduler.halt(move.route());
            }
            MoveDriver.INSTANCE.decide(move, watch, System.currentTimeMillis()).ifPresent(proposal -> {
                proposed.add(move);
                loop.schedule(() -> proposed.remove(move), PROPOSAL_MILLIS);
                reporter.propose(proposal);
            });
        }
    }

    void onAsk(String node, PeerMessage.PermitAsk ask) {
        Owned owned = owned(ask.pool());
        if (owned == null) {
            sender.send(
                    node,
                    new PeerMessage.PermitRefused(
                            ask.pool(),
                            ask.id(),
                            Refusal.notRun(RefusalReason.NO_UPSTREAM, "The pool is not in the tables.", 1_000)));
            return;
        }
        owned.scheduler.arrive(requestOf(ask), loop.nowMicros());
        requestDecisions();
    }

    void onCancel(PeerMessage.PermitCancel cancel) {
        Owned owned = pools.get(cancel.pool());
        if (owned != null) {
            owned.scheduler.cancel(cancel.id(), loop.nowMicros());
            requestDecisions();
        }
    }

    void onFirstToken(PeerMessage.PermitFirstToken first) {
        Owned owned = pools.get(first.pool());
        if (owned != null) {
            owned.scheduler.firstToken(first.id(), loop.nowMicros());
        }
    }

    void onWord(PeerMessage.UpstreamWord word) {
        Owned owned = pools.get(word.pool());
        if (owned == null) {
            return;
        }
        owned.scheduler.seen(word.upstream(), word.incarnation());
        if (word.leaving()) {
            owned.scheduler.leaving(word.upstream());
        }
        if (word.running() >= 0) {
            owned.scheduler.loadReported(word.upstream(), word.running(), word.waiting(), loop.nowMicros());
        }
    }

    void onFinish(PeerMessage.PermitFinish finish) {
        Owned owned = pools.get(finish.pool());
        if (owned != null) {
            owned.scheduler.finish(finish.id(), finish.outcome(), loop.nowMicros());
            driveMoves();
            requestDecisions();
        }
    }

    void onRegister(String node, PeerMessage.PermitRegister register) {
        Owned owned = owned(register.pool());
        if (owned == null) {
            return;
        }
        Set<PermitId> known = new HashSet<>(register.waiting());
        for (PeerMessage.InUse use : register.inUse()) {
            known.add(use.ask().id());
            owned.scheduler.register(requestOf(use.ask()), use.upstream(), loop.nowMicros());
        }
        owned.scheduler.reconcile(node, register.incarnation(), known, GRACE_MICROS, loop.nowMicros());
        owned.registered.add(node);
        boolean all = members.stream().allMatch(member -> owned.registered.contains(member.node()));
        if (all) {
            owned.scheduler.holdUntil(0);
        }
        requestDecisions();
    }

    Map<String, PoolScheduler> schedulers() {
        Map<String, PoolScheduler> schedulers = new TreeMap<>();
        pools.forEach((name, owned) -> schedulers.put(name, owned.scheduler));
        return schedulers;
    }

    private Owned owned(String pool) {
        Owned owned = pools.get(pool);
        PoolRow row = tables.pool(pool).orElse(null);
        if (owned == null && row != null) {
            // Guards against two owners giving out the same slots: the entries first tell the new owner what runs.
            owned = new Owned(new PoolScheduler(row, SchedulerOptions.STANDARD, identity));
            owned.scheduler.holdUntil(loop.nowMicros() + HOLD_MICROS);
            owned.scheduler.evacuate(evacuated);
            pools.put(pool, owned);
            applyVersions();
            PartLog.OWNER.info("This node takes over the queue of pool " + pool + '.');
        }
        return owned;
    }

    private PermitRequest requestOf(PeerMessage.PermitAsk ask) {
        return new PermitRequest(
                ask.id(),
                ask.tier(),
                ask.organisation(),
                ask.route(),
                loop.nowMicros() + ask.remainingMicros(),
                ask.work(),
                ask.fingerprint());
    }

    private void tick() {
        long now = loop.nowMicros();
        if (pools.values().stream().anyMatch(owned -> owned.scheduler.nextWakeAt() <= now)) {
            decide();
        }
    }

    private void requestDecisions() {
        if (!decideScheduled) {
            decideScheduled = true;
            loop.execute(() -> {
                decideScheduled = false;
                decide();
            });
        }
    }

    private void decide() {
        for (Map.Entry<String, Owned> entry : pools.entrySet()) {
            for (PermitAction action : entry.getValue().scheduler.decide(loop.nowMicros())) {
                carryOut(entry.getKey(), action);
            }
        }
    }

    private void carryOut(String pool, PermitAction action) {
        if (action instanceof PermitAction.Grant grant) {
            sender.send(
                    grant.id().node(),
                    new PeerMessage.PermitGranted(
                            pool, grant.id(), grant.upstream(), addressOf(pool, grant.upstream())));
        } else if (action instanceof PermitAction.Refuse refuse) {
            sender.send(refuse.id().node(), new PeerMessage.PermitRefused(pool, refuse.id(), refuse.refusal()));
        } else if (action instanceof PermitAction.Suspect suspect) {
            reporter.crashed(pool, suspect.fingerprint(), suspect.crashId());
        } else if (action instanceof PermitAction.Cleared cleared) {
            reporter.cleared(pool, cleared.fingerprint());
        } else if (action instanceof PermitAction.Ejected ejected) {
            PartLog.OWNER.warn(
                    "Upstream " + ejected.upstream() + " of pool " + pool + " is ejected as " + ejected.cause() + '.');
        }
    }

    private String addressOf(String pool, String upstream) {
        Owned owned = pools.get(pool);
        return owned.scheduler.upstreams().stream()
                .map(state -> state.row())
                .filter(row -> row.name().equals(upstream))
                .map(UpstreamRow::address)
                .findFirst()
                .orElse("");
    }

    /**
     * Tells the control leader what owners of queues find out.
     */
    interface Reporter {
        /**
         * Returns whether this node owns a pool's queue now, so that it alone drives the moves there.
         *
         * @param pool the pool.
         * @return whether it does.
         */
        boolean owns(String pool);

        /**
         * Proposes a change of a move.
         *
         * @param proposal the change.
         */
        void propose(MoveDriver.Proposal proposal);

        /**
         * Reports that a request was in flight at a crash.
         *
         * @param pool the pool.
         * @param fingerprint the digest of the request's content.
         * @param crashId what tells this crash from others.
         */
        void crashed(String pool, String fingerprint, String crashId);

        /**
         * Reports that a suspect ran to its end.
         *
         * @param pool the pool.
         * @param fingerprint the digest of the request's content.
         */
        void cleared(String pool, String fingerprint);
    }

    /**
     * Holds the scheduler of one pool and who has registered with it.
     */
    private static final class Owned {
        private final PoolScheduler scheduler;
        private final Set<String> registered = new HashSet<>();

        Owned(PoolScheduler scheduler) {
            this.scheduler = scheduler;
        }
    }
}
