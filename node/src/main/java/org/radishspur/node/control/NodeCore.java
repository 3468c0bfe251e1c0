package org.radishspur.node.control;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.radishspur.decision.move.Move;
import org.radishspur.decision.move.MoveDriver;
import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.Tables;
import org.radishspur.node.log.PartLog;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerLinks;
import org.radishspur.node.peer.PeerListener;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.TablesDelta;

/**
 * Ties the deciding parts of a node together on the control thread, and gives traffic threads a way in.
 */
public final class NodeCore implements PeerListener, AutoCloseable {
    private static final long COMMIT_TIMEOUT_MILLIS = 10_000;

    private final NodeSettings settings;
    private final long incarnation;
    private final ControlLoop loop;
    private final PeerLinks links;
    private final ControlClient controlClient;
    private final PermitService permitService;
    private final OwnerService ownerService;
    private final Optional<ReplicaHost> replicaHost;
    private final Optional<LeaderService> leaderService;
    private final AtomicLong nextAttempt = new AtomicLong();
    private volatile Tables tables = Tables.EMPTY;
    private volatile boolean tablesKnown;
    private volatile boolean shuttingDown;
    private volatile long leaderSeenAtMillis;
    private ClusterView view = ClusterView.NONE;
    private long auxiliaryRevision;
    private long lastAuxiliaryChanges;

    /**
     * Creates the core of a node; it starts to work at once.
     *
     * @param settings the settings of the node.
     * @param incarnation which run of the process it is.
     * @param loop the control thread.
     * @param linksFactory makes the links to other nodes, given who is notified of them.
     */
    public NodeCore(NodeSettings settings, long incarnation, ControlLoop loop, LinksFactory linksFactory) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.loop = loop;
        this.links = linksFactory.create(this);
        this.controlClient = new ControlClient(settings, loop, this::send);
        this.permitService = new PermitService(loop, settings.node(), incarnation, this::send, links::isConnected);
        this.ownerService =
                new OwnerService(loop, settings.node() + '/' + incarnation, this::send, new LeaderReporter());
        this.replicaHost = settings.isControl()
                ? Optional.of(new ReplicaHost(
                        ReplicaHost.setupOf(settings),
                        loop,
                        (from, to, message) ->
                                links.send(ReplicaHost.nodeOf(to), new PeerMessage.Raft(from, to, message)),
                        this::onApplied))
                : Optional.empty();
        this.leaderService = replicaHost.map(host -> new LeaderService(settings, loop, host, this::send));
        loop.repeat(this::heartbeat, settings.timeouts().heartbeatMillis());
    }

    /** Connects to the other nodes. */
    public void start() {
        links.start(cause -> {});
        loop.execute(this::heartbeat);
    }

    /** {@inheritDoc} */
    @Override
    public void onMessage(String node, long fromIncarnation, PeerMessage message) {
        loop.execute(() -> dispatch(node, message));
    }

    /** {@inheritDoc} */
    @Override
    public void onConnectionChanged(String node, boolean connected) {
        loop.execute(() -> {
            permitService.onConnectionChanged(node, connected);
            if (connected) {
                heartbeat();
            }
        });
    }

    /**
     * Asks the control leader to commit a command.
     *
     * @param command the command.
     * @param timeoutMillis how long the call may take.
     * @param listener receives the outcome, on the control thread.
     */
    public void commit(ControlCommand command, long timeoutMillis, CallListener listener) {
        call(new PeerMessage.ControlRequest.Commit(command), timeoutMillis, listener);
    }

    /**
     * Makes a call to the control leader.
     *
     * @param request what is asked.
     * @param timeoutMillis how long the call may take.
     * @param listener receives the outcome, on the control thread.
     */
    public void call(PeerMessage.ControlRequest request, long timeoutMillis, CallListener listener) {
        loop.execute(() -> controlClient.call(request, timeoutMillis, listener::onResult));
    }

    /**
     * Asks for a permit.
     *
     * @param ask the request.
     * @param listener receives the outcome, on the control thread.
     */
    public void ask(PeerMessage.PermitAsk ask, PermitListener listener) {
        loop.execute(() -> permitService.request(ask, listener));
    }

    /**
     * Withdraws a request for a permit; if the permit was granted meanwhile, it is given back unused.
     *
     * @param id the attempt.
     */
    public void cancel(PermitId id) {
        loop.execute(() -> {
            if (!permitService.cancel(id)) {
                permitService.release(id, PermitOutcome.of(PermitOutcome.Ending.UNUSED));
            }
        });
    }

    /**
     * Says that the first token of an answer has come.
     *
     * @param id the attempt.
     */
    public void firstToken(PermitId id) {
        loop.execute(() -> permitService.reportFirstToken(id));
    }

    /**
     * Passes on to the owner of a pool's queue what an upstream said of itself.
     *
     * @param word what it said.
     */
    public void pass(PeerMessage.UpstreamWord word) {
        loop.execute(() -> permitService.reportUpstreamStatus(word));
    }

    /**
     * Gives a permit back.
     *
     * @param id the attempt.
     * @param outcome how it was used.
     */
    public void finish(PermitId id, PermitOutcome outcome) {
        loop.execute(() -> permitService.release(id, outcome));
    }

    /**
     * Draws the identity of a fresh attempt.
     *
     * @return the identity.
     */
    public PermitId nextAttempt() {
        return new PermitId(settings.node(), incarnation, nextAttempt.incrementAndGet());
    }

    /**
     * Returns the tables in force on this node.
     *
     * @return the tables.
     */
    public Tables tables() {
        return tables;
    }

    /**
     * Returns whether the node may take callers' requests: it has the tables, isn't being stopped, and has heard the
     * control leader lately or is connected to most of the cluster.
     *
     * @return whether it may.
     */
    public boolean isReady() {
        return tablesKnown && !shuttingDown && (hasRecentLeaderReply() || isConnectedToMajority());
    }

    /**
     * Returns whether the node is being stopped as planned.
     *
     * @return whether it is.
     */
    public boolean isShuttingDown() {
        return shuttingDown;
    }

    /**
     * Hands over whatever this node owns, as the first step of a planned stop.
     */
    public void beginShutdown() {
        shuttingDown = true;
        loop.execute(() -> {
            heartbeat();
            replicaHost.ifPresent(ReplicaHost::transferLeadership);
        });
    }

    /**
     * Collects what operators may want to see of this node's part in the pools' queues.
     *
     * @param listener gets one line a pool, on the control thread.
     */
    public void poolReport(ReportListener listener) {
        loop.execute(() -> {
            Map<String, PoolReport> report = new TreeMap<>();
            permitService.owners().forEach((pool, owner) -> {
                var scheduler = ownerService.schedulers().get(pool);
                boolean own = owner.equals(settings.node()) && scheduler != null;
                report.put(pool, PoolReport.of(owner, own ? Optional.of(scheduler) : Optional.empty(), loop));
            });
            listener.onReport(report);
        });
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        links.close();
        replicaHost.ifPresent(ReplicaHost::close);
    }

    private boolean hasRecentLeaderReply() {
        return leaderSeenAtMillis > 0
                && loop.nowMillis() - leaderSeenAtMillis < settings.timeouts().nodeLostMillis();
    }

    private boolean isConnectedToMajority() {
        long connected = settings.peers().stream()
                .filter(peer -> links.isConnected(peer.node()))
                .count();
        return 2 * (connected + 1) > settings.peers().size() + 1;
    }

    private void send(String node, PeerMessage message) {
        if (node.equals(settings.node())) {
            loop.execute(() -> dispatch(node, message));
        } else {
            links.send(node, message);
        }
    }

    private void heartbeat() {
        PeerMessage.NodeStatus status = new PeerMessage.NodeStatus(
                settings.node(),
                incarnation,
                settings.failureDomain(),
                settings.isEntry(),
                shuttingDown,
                tablesKnown ? tables.revision() : TablesDelta.ANY_REVISION,
                view.term(),
                view.number(),
                auxiliaryRevision,
                replicaHost.map(ReplicaHost::identity).orElse(""));
        Set<String> controlNodes = settings.controlNodes();
        controlNodes.forEach(node -> send(node, new PeerMessage.Heartbeat(status)));
    }

    private void dispatch(String node, PeerMessage message) {
        if (message instanceof PeerMessage.Raft raft) {
            replicaHost.ifPresent(host -> host.receive(raft.from(), raft.to(), raft.message()));
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            leaderService.ifPresent(desk -> desk.onHeartbeat(heartbeat.status()));
        } else if (message instanceof PeerMessage.HeartbeatReply reply) {
            onHeartbeatReply(node, reply);
        } else if (message instanceof PeerMessage.TablesPush push) {
            onDelta(push.delta(), push.moves());
        } else if (message instanceof PeerMessage.ControlCall call) {
            leaderService.ifPresent(desk -> desk.onCall(node, call));
        } else if (message instanceof PeerMessage.ControlReply reply) {
            controlClient.onReply(reply);
        } else {
            dispatchPermit(node, message);
        }
    }

    private void dispatchPermit(String node, PeerMessage message) {
        if (message instanceof PeerMessage.PermitAsk ask) {
            ownerService.onPermitRequest(node, ask);
        } else if (message instanceof PeerMessage.PermitGranted granted) {
            permitService.onGranted(granted);
        } else if (message instanceof PeerMessage.PermitRefused refused) {
            permitService.onRefused(refused);
        } else if (message instanceof PeerMessage.PermitCancel cancel) {
            ownerService.onCancel(cancel);
        } else if (message instanceof PeerMessage.PermitFirstToken first) {
            ownerService.onFirstToken(first);
        } else if (message instanceof PeerMessage.PermitFinish finish) {
            ownerService.onFinish(finish);
        } else if (message instanceof PeerMessage.UpstreamWord word) {
            ownerService.onUpstreamStatus(word);
        } else if (message instanceof PeerMessage.PermitRegister register) {
            ownerService.onRegister(node, register);
        }
    }

    private void onHeartbeatReply(String node, PeerMessage.HeartbeatReply reply) {
        if (!reply.leader()) {
            return;
        }
        leaderSeenAtMillis = loop.nowMillis();
        controlClient.onLeader(node);
        reply.delta().ifPresent(delta -> onDelta(delta, reply.moves()));
        if (!tablesKnown && reply.delta().isPresent()) {
            tablesKnown = true;
            onTables();
            heartbeat();
        }
        reply.view().filter(fresh -> fresh.isLaterThan(view)).ifPresent(fresh -> {
            view = fresh;
            ownerService.onView(fresh);
            permitService.onView(fresh);
        });
        if (reply.auxiliaryRevision() != auxiliaryRevision) {
            auxiliaryRevision = reply.auxiliaryRevision();
            ownerService.onSuspects(reply.suspects());
            ownerService.onMoves(reply.moves());
            ownerService.onEvacuated(reply.evacuated());
        }
    }

    /**
     * Takes over changed tables; a delta that leads backwards or leaves a gap changes nothing.
     *
     * <p>Guards against a new version that gets every request for a moment: a row that names it comes together with the
     * move that keeps it to its share, so that the one is never in force without the other.
     */
    private void onDelta(TablesDelta delta, Map<String, Move> moves) {
        Tables changed = delta.applyTo(tables);
        if (changed.revision() > tables.revision()) {
            tables = changed;
            ownerService.onMovesWithTables(moves);
            if (tablesKnown) {
                onTables();
                heartbeat();
            }
        }
    }

    private void onTables() {
        ownerService.onTables(tables);
        permitService.onTables(tables);
        PartLog.NODE.info("Tables of revision " + tables.revision() + " are in force.");
    }

    private void onApplied(ControlState state) {
        boolean changed = state.auxiliaryChanges() != lastAuxiliaryChanges;
        lastAuxiliaryChanges = state.auxiliaryChanges();
        leaderService.ifPresent(desk -> desk.onApplied(state, changed));
    }

    /**
     * Makes the links to other nodes.
     */
    public interface LinksFactory {
        /**
         * Makes the links; they may call the inbox at once.
         *
         * @param inbox is notified of connections made and lost.
         * @return the links.
         */
        PeerLinks create(PeerListener inbox);
    }

    /**
     * Receives how a call to the control leader ends.
     */
    public interface CallListener {
        /**
         * Takes the end, on the control thread.
         *
         * @param result how the call ended.
         */
        void onResult(PeerMessage.ControlResult result);
    }

    /**
     * Takes a report on the pools.
     */
    public interface ReportListener {
        /**
         * Takes the report, on the control thread.
         *
         * @param report one line a pool.
         */
        void onReport(Map<String, PoolReport> report);
    }

    /**
     * Commits what the owners of queues find out.
     */
    private final class LeaderReporter implements OwnerService.Reporter {
        /** {@inheritDoc} */
        @Override
        public boolean isOwner(String pool) {
            return settings.node().equals(permitService.owners().get(pool));
        }

        /** {@inheritDoc} */
        @Override
        public void propose(MoveDriver.Proposal proposal) {
            PartLog.OWNER.info("Move " + proposal.moveId() + " of route " + proposal.route() + " is to be "
                    + proposal.state() + " at " + proposal.stage() + ", reason " + proposal.reason() + '.');
            commit(
                    new ControlCommand.ChangeMove(proposal, System.currentTimeMillis()),
                    COMMIT_TIMEOUT_MILLIS,
                    result -> heartbeat());
        }

        /** {@inheritDoc} */
        @Override
        public void reportCrash(String pool, String fingerprint, String crashId) {
            commit(
                    new ControlCommand.ReportCrash(pool, fingerprint, crashId, System.currentTimeMillis()),
                    COMMIT_TIMEOUT_MILLIS,
                    result -> {});
        }

        /** {@inheritDoc} */
        @Override
        public void clearSuspect(String pool, String fingerprint) {
            commit(
                    new ControlCommand.ClearSuspect(pool, fingerprint, System.currentTimeMillis()),
                    COMMIT_TIMEOUT_MILLIS,
                    result -> {});
        }
    }
}
