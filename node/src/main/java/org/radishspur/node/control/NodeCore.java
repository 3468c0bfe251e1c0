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
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.peer.ClusterView;
import org.radishspur.node.peer.PeerConnections;
import org.radishspur.node.peer.PeerListener;
import org.radishspur.node.peer.PeerMessage;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.settings.Timeouts;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.TablesDelta;

/**
 * Connects the control replica, the leader service, the pools' queues and the requests for permits of a node. All of
 * them run on the control thread; the public methods may be called from any thread.
 */
public final class NodeCore implements PeerListener, AutoCloseable {
    private static final long COMMIT_TIMEOUT_MILLIS = 10_000;

    private final NodeSettings settings;
    private final long incarnation;
    private final ControlLoop loop;
    private final PeerConnections connections;
    private final ControlClient controlClient;
    private final PermitService permitService;
    private final PoolOwnerService ownerService;
    private final Optional<ReplicaRunner> replicaRunner;
    private final Optional<LeaderService> leaderService;
    private final AtomicLong nextPermitId = new AtomicLong();
    private volatile Tables tables = Tables.EMPTY;
    private volatile boolean tablesReceived;
    private volatile boolean shuttingDown;
    private volatile long leaderSeenAtMillis;
    private ClusterView view = ClusterView.NONE;
    /** The revision of the crash suspects, moves and evacuations, which heartbeats compare. */
    private long auxiliaryRevision;

    private long lastNonClaimChangeCount;

    /**
     * Creates the core of a node; its timers and its control replica start immediately.
     *
     * @param settings the settings of the node.
     * @param incarnation the run of the process.
     * @param loop the control thread.
     * @param linksFactory creates the connections to other nodes.
     */
    public NodeCore(NodeSettings settings, long incarnation, ControlLoop loop, LinksFactory linksFactory) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.loop = loop;
        this.connections = linksFactory.create(this);
        this.controlClient = new ControlClient(settings, loop, this::send);
        this.permitService =
                new PermitService(loop, settings.node(), incarnation, this::send, connections::isConnected);
        this.ownerService = new PoolOwnerService(
                loop,
                settings.node() + '/' + incarnation,
                this::send,
                new LeaderReporter(),
                maxDeferralMillis(settings.timeouts()));
        this.replicaRunner = settings.isControl()
                ? Optional.of(new ReplicaRunner(
                        ReplicaRunner.setupOf(settings),
                        loop,
                        (from, to, message) ->
                                connections.send(ReplicaRunner.nodeOf(to), new PeerMessage.Raft(from, to, message)),
                        this::onApplied))
                : Optional.empty();
        this.leaderService = replicaRunner.map(runner -> new LeaderService(settings, loop, runner, this::send));
        replicaRunner.ifPresent(ReplicaRunner::start);
        loop.repeat(this::heartbeat, settings.timeouts().heartbeatMillis());
    }

    /**
     * Returns how long a message waits for tables that an owner lacks: until an owner that gets none any more has been
     * replaced by another one and the change has reached the entries.
     */
    private static long maxDeferralMillis(Timeouts timeouts) {
        return timeouts.nodeLostMillis() + 2 * timeouts.heartbeatMillis();
    }

    /** Connects to the other nodes. */
    public void start() {
        connections.start(cause -> {});
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
     * Commits a command by a call to the control leader.
     *
     * @param command the command.
     * @param timeoutMillis the timeout of the call in milliseconds.
     * @param listener receives the result, on the control thread.
     */
    public void commit(ControlCommand command, long timeoutMillis, CallListener listener) {
        call(new PeerMessage.ControlRequest.Commit(command), timeoutMillis, listener);
    }

    /**
     * Calls the control leader.
     *
     * @param request the request.
     * @param timeoutMillis the timeout of the call in milliseconds.
     * @param listener receives the result, on the control thread.
     */
    public void call(PeerMessage.ControlRequest request, long timeoutMillis, CallListener listener) {
        loop.execute(() -> controlClient.call(request, timeoutMillis, listener::onResult));
    }

    /**
     * Requests a permit from the owner of the pool's queue.
     *
     * @param request the request.
     * @param listener receives the result, on the control thread.
     */
    public void requestPermit(PeerMessage.PermitAcquire request, PermitListener listener) {
        loop.execute(() -> permitService.request(request, listener));
    }

    /**
     * Withdraws a request for a permit; if the permit has been granted already, it is released unused.
     *
     * @param id the identity of the attempt.
     */
    public void cancelPermit(PermitId id) {
        loop.execute(() -> {
            if (!permitService.cancel(id)) {
                permitService.release(id, PermitOutcome.of(PermitOutcome.Ending.UNUSED));
            }
        });
    }

    /**
     * Reports the first token of an answer to the owner of the pool's queue.
     *
     * @param id the identity of the attempt.
     */
    public void reportFirstToken(PermitId id) {
        loop.execute(() -> permitService.reportFirstToken(id));
    }

    /**
     * Reports to the owner of the pool's queue whether the upstream of a permit in use is silent.
     *
     * @param id the identity of the attempt.
     * @param silent whether the upstream has sent nothing for longer than the time allowed.
     */
    public void reportSilence(PermitId id, boolean silent) {
        loop.execute(() -> permitService.reportSilence(id, silent));
    }

    /**
     * Passes the status that an upstream has reported on to the owner of the pool's queue.
     *
     * @param status the status.
     */
    public void reportUpstreamStatus(PeerMessage.UpstreamStatus status) {
        loop.execute(() -> permitService.reportUpstreamStatus(status));
    }

    /**
     * Releases a permit.
     *
     * @param id the identity of the attempt.
     * @param outcome how the attempt ended.
     */
    public void releasePermit(PermitId id, PermitOutcome outcome) {
        loop.execute(() -> permitService.release(id, outcome));
    }

    /**
     * Returns a new identity for an attempt, unique within the cluster.
     *
     * @return the identity.
     */
    public PermitId nextPermitId() {
        return new PermitId(settings.node(), incarnation, nextPermitId.incrementAndGet());
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
     * Returns whether the node may accept callers' requests: it has the tables, isn't shutting down, and either
     * received a reply from the control leader recently or is connected to a majority of the cluster.
     *
     * @return whether it may.
     */
    public boolean isReady() {
        return tablesReceived && !shuttingDown && (hasRecentLeaderReply() || isConnectedToMajority());
    }

    /**
     * Returns whether the node is shutting down.
     *
     * @return whether it is.
     */
    public boolean isShuttingDown() {
        return shuttingDown;
    }

    /**
     * Begins a shutdown: hands over the queues and the control leadership that this node holds.
     */
    public void beginShutdown() {
        shuttingDown = true;
        loop.execute(() -> {
            heartbeat();
            replicaRunner.ifPresent(ReplicaRunner::transferLeadership);
        });
    }

    /**
     * Reports the state of the pools' queues, as seen by this node, for operators.
     *
     * @param listener receives the report, on the control thread.
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
        connections.close();
        replicaRunner.ifPresent(ReplicaRunner::close);
    }

    private boolean hasRecentLeaderReply() {
        return leaderSeenAtMillis > 0
                && loop.nowMillis() - leaderSeenAtMillis < settings.timeouts().nodeLostMillis();
    }

    private boolean isConnectedToMajority() {
        long connected = settings.peers().stream()
                .filter(peer -> connections.isConnected(peer.node()))
                .count();
        return 2 * (connected + 1) > settings.peers().size() + 1;
    }

    private void send(String node, PeerMessage message) {
        if (node.equals(settings.node())) {
            loop.execute(() -> dispatch(node, message));
        } else {
            connections.send(node, message);
        }
    }

    private void heartbeat() {
        PeerMessage.NodeStatus status = new PeerMessage.NodeStatus(
                settings.node(),
                incarnation,
                settings.failureDomain(),
                settings.isEntry(),
                shuttingDown,
                tablesReceived ? tables.revision() : TablesDelta.ANY_REVISION,
                view.term(),
                view.number(),
                auxiliaryRevision,
                replicaRunner.map(ReplicaRunner::identity).orElse(""));
        Set<String> controlNodes = settings.controlNodes();
        controlNodes.forEach(node -> send(node, new PeerMessage.Heartbeat(status)));
    }

    private void dispatch(String node, PeerMessage message) {
        if (message instanceof PeerMessage.Raft raft) {
            replicaRunner.ifPresent(runner -> runner.receive(raft.from(), raft.to(), raft.message()));
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            leaderService.ifPresent(service -> service.onHeartbeat(heartbeat.status()));
        } else if (message instanceof PeerMessage.HeartbeatReply reply) {
            onHeartbeatReply(node, reply);
        } else if (message instanceof PeerMessage.TablesPush push) {
            onDelta(push.delta(), push.moves());
        } else if (message instanceof PeerMessage.ControlCall call) {
            leaderService.ifPresent(service -> service.onCall(node, call));
        } else if (message instanceof PeerMessage.ControlReply reply) {
            controlClient.onReply(reply);
        } else {
            dispatchPermit(node, message);
        }
    }

    private void dispatchPermit(String node, PeerMessage message) {
        if (message instanceof PeerMessage.PermitAcquire request) {
            ownerService.onPermitRequest(node, request);
        } else if (message instanceof PeerMessage.PermitGranted granted) {
            permitService.onGranted(granted);
        } else if (message instanceof PeerMessage.PermitRefused refused) {
            permitService.onRefused(node, refused);
        } else if (message instanceof PeerMessage.PermitCancel cancel) {
            ownerService.onCancel(cancel);
        } else if (message instanceof PeerMessage.PermitFirstToken first) {
            ownerService.onFirstToken(first);
        } else if (message instanceof PeerMessage.PermitRelease release) {
            ownerService.onRelease(release);
        } else if (message instanceof PeerMessage.UpstreamStatus status) {
            ownerService.onUpstreamStatus(status);
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
        if (!tablesReceived && reply.delta().isPresent()) {
            tablesReceived = true;
            onTables();
            heartbeat();
        }
        reply.view().filter(newer -> newer.isLaterThan(view)).ifPresent(newer -> {
            view = newer;
            // Chooses the owners of queues first, as the owner service decides by them.
            permitService.onView(newer);
            ownerService.onView(newer);
        });
        if (reply.auxiliaryRevision() != auxiliaryRevision) {
            auxiliaryRevision = reply.auxiliaryRevision();
            ownerService.onSuspects(reply.suspects());
            ownerService.onMoves(reply.moves());
            ownerService.onEvacuated(reply.evacuated());
        }
    }

    /**
     * Applies changed tables; a delta to an older revision or with a gap before it is ignored.
     *
     * <p>The moves are replaced together with the tables: a row that names a new version must not be in force without
     * the move that limits the version to its share, or the version would briefly receive every request.
     */
    private void onDelta(TablesDelta delta, Map<String, Move> moves) {
        Tables changed = delta.applyTo(tables);
        if (changed.revision() > tables.revision()) {
            tables = changed;
            ownerService.onMovesWithTables(moves);
            if (tablesReceived) {
                onTables();
                heartbeat();
            }
        }
    }

    private void onTables() {
        // Chooses the owners of new queues first, as the owner service decides by them.
        permitService.onTables(tables);
        ownerService.onTables(tables);
        ComponentLog.NODE.info("Tables of revision " + tables.revision() + " are in force.");
    }

    private void onApplied(ControlState state) {
        boolean changed = state.nonClaimChangeCount() != lastNonClaimChangeCount;
        lastNonClaimChangeCount = state.nonClaimChangeCount();
        leaderService.ifPresent(service -> service.onApplied(state, changed));
    }

    /**
     * Creates the connections to other nodes.
     */
    public interface LinksFactory {
        /**
         * Creates the connections; they may call the listener immediately.
         *
         * @param listener is notified when a connection is established or lost.
         * @return the connections.
         */
        PeerConnections create(PeerListener listener);
    }

    /**
     * Receives the result of a call to the control leader.
     */
    public interface CallListener {
        /**
         * Receives the result, exactly once and on the control thread.
         *
         * @param result the result.
         */
        void onResult(PeerMessage.ControlResult result);
    }

    /**
     * Receives a report on the pools' queues.
     */
    public interface ReportListener {
        /**
         * Receives the report, on the control thread.
         *
         * @param report the report on each pool's queue, by the name of the pool.
         */
        void onReport(Map<String, PoolReport> report);
    }

    /**
     * Reports the findings of a queue's owner by committing commands.
     */
    private final class LeaderReporter implements PoolOwnerService.Reporter {
        /** {@inheritDoc} */
        @Override
        public boolean isOwner(String pool) {
            return settings.node().equals(permitService.owners().get(pool));
        }

        /** {@inheritDoc} */
        @Override
        public void propose(MoveDriver.Proposal proposal) {
            ComponentLog.OWNER.info(
                    "Move " + proposal.moveId() + " of route " + proposal.route() + " is proposed to become "
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
