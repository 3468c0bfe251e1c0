package org.radishspur.node.control;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.replication.control.ControlReplica;
import org.radishspur.replication.control.ProposalOutcome;
import org.radishspur.replication.disk.DataFolder;
import org.radishspur.replication.disk.FileDisk;
import org.radishspur.replication.disk.Identity;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.StateOptions;

/**
 * Runs the control replica of this node on the control thread.
 */
public final class ReplicaRunner implements AutoCloseable {
    private static final int ENTRIES_PER_MESSAGE = 256;
    private static final int SNAPSHOT_CHUNK_BYTES = 1 << 18;
    /** The applied entries that stay in the log after a snapshot, for followers that are slightly behind. */
    private static final int TRAILING_ENTRIES = 1_000;

    private static final int MAX_PENDING_PROPOSALS = 20_000;
    /** Below 1, so that a lease expires before the followers can elect another leader, even if clocks drift. */
    private static final double LEASE_TO_ELECTION_TIMEOUT_RATIO = 0.8;

    private static final int TICKS_PER_HEARTBEAT = 4;

    private final ControlLoop loop;
    private final Identity identity;
    private final Observer observer;
    private final ControlReplica replica;
    private final DiskWriter writer;
    private final long tickMillis;
    private boolean flushScheduled;
    private Role lastRole = Role.FOLLOWER;

    /**
     * Recovers the replica from its disk.
     *
     * @param setup the disk, the identity and the options of the replica.
     * @param loop the control thread.
     * @param network sends messages to other replicas.
     * @param applied is notified of the state after each change.
     */
    public ReplicaRunner(Setup setup, ControlLoop loop, Network network, ControlReplica.AppliedListener applied) {
        this.loop = loop;
        identity = setup.identity();
        observer = setup.observer();
        FileDisk disk = new FileDisk(setup.folder(), identity);
        RecoveredState recovered = disk.recover();
        setup.observer()
                .onStarted(
                        identity.replica(),
                        recovered.entries().size(),
                        recovered.snapshot().lastIndex());
        writer = new DiskWriter(loop, disk, setup.folder(), setup.minimumFreeBytes(), this::requestFlush);
        replica = new ControlReplica(
                setup.options(),
                identity.replica(),
                recovered,
                new ControlReplica.Environment(
                        (to, message) -> network.send(identity.replica(), to, message), writer, applied, new Random()),
                loop.nowMillis());
        tickMillis = Math.max(1, setup.options().raft().heartbeatMillis() / TICKS_PER_HEARTBEAT);
    }

    /**
     * Starts the timer of the replica, which may then become leader. Whoever owns the replica must be complete by then, as
     * the observer is notified of the role.
     */
    public void start() {
        requestFlush();
        loop.repeat(this::tick, tickMillis);
    }

    static Setup setupOf(NodeSettings settings) {
        DataFolder folder = new DataFolder(settings.dataFolder().orElseThrow());
        RaftOptions raft = raftOptions(
                settings.timeouts().raftHeartbeatMillis(), settings.timeouts().electionMillis());
        StateOptions state = new StateOptions(
                settings.timeouts().claimKeepMillis(), settings.timeouts().suspectKeepMillis());
        return new Setup(
                folder,
                folder.identity(settings.cluster(), settings.node()),
                new ControlReplica.Options(raft, state, settings.limits().entriesPerSnapshot(), MAX_PENDING_PROPOSALS),
                settings.limits().minimumFreeBytes(),
                Observer.LogObserver.INSTANCE);
    }

    /**
     * Derives the options of the consensus core from the heartbeat interval and the election timeout.
     *
     * @param heartbeatMillis the time between heartbeats of a leader, in milliseconds.
     * @param electionMillis the minimum time without a leader before a follower starts an election, in milliseconds.
     * @return the options.
     */
    public static RaftOptions raftOptions(long heartbeatMillis, long electionMillis) {
        return new RaftOptions(
                heartbeatMillis,
                electionMillis,
                (long) (electionMillis * LEASE_TO_ELECTION_TIMEOUT_RATIO),
                ENTRIES_PER_MESSAGE,
                SNAPSHOT_CHUNK_BYTES,
                TRAILING_ENTRIES);
    }

    /**
     * Returns the name of the node that a replica runs on.
     *
     * @param replica the identity of the replica.
     * @return the name of its node.
     */
    public static String nodeOf(String replica) {
        return replica.substring(0, replica.indexOf('#'));
    }

    /**
     * Receives a message from another replica. A message to another identity than this replica's is dropped.
     *
     * @param from the identity of the sender.
     * @param to the identity of the receiver.
     * @param message the message.
     */
    public void receive(String from, String to, RaftMessage message) {
        // The message may be for a replica that ran on an earlier disk of this node.
        if (to.equals(identity.replica())) {
            replica.receive(from, message, loop.nowMillis());
            requestFlush();
        }
    }

    /**
     * Proposes a command for the replicated log.
     *
     * @param command the command.
     * @param listener receives the outcome, on the control thread.
     */
    public void propose(ControlCommand command, ProposalOutcome.Listener listener) {
        replica.propose(command, listener, loop.nowMillis());
        requestFlush();
    }

    /**
     * Starts to replace a lost replica, or to add one.
     *
     * @param learner the identity of the new replica.
     * @param replaced the identity of the lost replica, or an empty text to add one.
     * @return whether the change was started.
     */
    public boolean replace(String learner, String replaced) {
        boolean started = replica.replace(learner, replaced);
        requestFlush();
        return started;
    }

    /** Returns the state, if this replica is the leader and may serve reads from it now. */
    Optional<ControlState> readableState() {
        return replica.core().mayServeLeaseRead(loop.nowMillis()) ? Optional.of(replica.state()) : Optional.empty();
    }

    /**
     * Returns whether this replica is the leader according to its own state.
     *
     * @return whether it is.
     */
    public boolean isLeader() {
        return replica.core().role() == Role.LEADER;
    }

    /**
     * Starts to transfer the leadership to a follower, as before a planned stop.
     *
     * @return whether the transfer was started.
     */
    public boolean transferLeadership() {
        boolean transferStarted = replica.core().transferLeadership();
        requestFlush();
        return transferStarted;
    }

    /**
     * Returns the identity of this replica.
     *
     * @return the identity.
     */
    public String identity() {
        return identity.replica();
    }

    /**
     * Returns the name of the node that the leader runs on.
     *
     * @return the name, or an empty text where no leader is known.
     */
    public String leaderNode() {
        String leader = replica.core().leader();
        return leader.isEmpty() ? "" : nodeOf(leader);
    }

    /**
     * Returns the current term.
     *
     * @return the term.
     */
    public long term() {
        return replica.core().term();
    }

    long commitIndex() {
        return replica.core().commitIndex();
    }

    /**
     * Returns the voting replicas.
     *
     * @return their identities.
     */
    public List<String> voters() {
        return List.copyOf(replica.core().configuration().voters());
    }

    /**
     * Returns the replicas that are catching up with the log before they may vote.
     *
     * @return their identities.
     */
    public List<String> learners() {
        return List.copyOf(replica.core().configuration().learners().keySet());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        writer.close();
    }

    private void tick() {
        replica.tick(loop.nowMillis());
        requestFlush();
        Role role = replica.core().role();
        if (role != lastRole) {
            lastRole = role;
            observer.onRoleChanged(identity.replica(), role, term());
        }
    }

    /** Flushes after the actions already submitted to the control thread, so that they share one sync of the disk. */
    private void requestFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            loop.execute(() -> {
                flushScheduled = false;
                replica.flush(loop.nowMillis());
            });
        }
    }

    /**
     * Returns the state that this replica has applied, which may be stale.
     *
     * @return the state.
     */
    public ControlState state() {
        return replica.state();
    }

    /**
     * Returns whether a majority has confirmed the leadership of this replica since a read began.
     *
     * @param since when the read began, by the control thread's clock in milliseconds.
     * @return whether the read may be served from the state.
     */
    public boolean isLeadershipConfirmedSince(long since) {
        return replica.core().leadershipConfirmedSince(since);
    }

    /**
     * Returns whether a replica is a voter or a learner.
     *
     * @param other the identity of the replica.
     * @return whether the latest configuration contains it.
     */
    public boolean isMember(String other) {
        return replica.core().configuration().contains(other);
    }

    /**
     * Holds the disk, the identity and the options of a replica.
     *
     * @param folder the data folder.
     * @param identity the identity stored in the data folder.
     * @param options the sizes and times of the replica.
     * @param minimumFreeBytes the free disk space in bytes below which new proposals are refused.
     * @param observer is notified of the start and of changes of the role.
     */
    public record Setup(
            DataFolder folder,
            Identity identity,
            ControlReplica.Options options,
            long minimumFreeBytes,
            Observer observer) {}

    /**
     * Is notified of the start of a replica and of changes of its role.
     */
    public interface Observer {
        /**
         * Is called once the replica has been recovered from its disk.
         *
         * @param name the identity of the replica.
         * @param entries the number of log entries after the snapshot.
         * @param snapshotIndex the index of the last log entry in the snapshot.
         */
        void onStarted(String name, int entries, long snapshotIndex);

        /**
         * Is called after the role has changed.
         *
         * @param name the identity of the replica.
         * @param role the new role.
         * @param term the current term.
         */
        void onRoleChanged(String name, Role role, long term);

        /** Writes the start and the changes of the role to the log. */
        enum LogObserver implements Observer {
            /** The only instance. */
            INSTANCE;

            /** {@inheritDoc} */
            @Override
            public void onStarted(String name, int entries, long snapshotIndex) {
                ComponentLog.CONTROL.info(
                        "Replica " + name + " starts with " + entries + " entries after index " + snapshotIndex + '.');
            }

            /** {@inheritDoc} */
            @Override
            public void onRoleChanged(String name, Role role, long term) {
                ComponentLog.CONTROL.info("Replica " + name + " is " + role + " in term " + term + '.');
            }
        }
    }

    /**
     * Sends messages to other replicas.
     */
    public interface Network {
        /**
         * Sends a message, which may be lost.
         *
         * @param from the identity of the sender.
         * @param to the identity of the receiver.
         * @param message the message.
         */
        void send(String from, String to, RaftMessage message);
    }
}
