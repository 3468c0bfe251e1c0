package org.radishspur.node.control;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.radishspur.node.log.PartLog;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.replication.control.ControlReplica;
import org.radishspur.replication.control.Proposal;
import org.radishspur.replication.disk.DataFolder;
import org.radishspur.replication.disk.FileDisk;
import org.radishspur.replication.disk.Identity;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.raft.Recovered;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.StateOptions;

/**
 * Runs the control replica of this node on the control thread.
 */
public final class ReplicaHost implements AutoCloseable {
    private static final int ENTRIES_PER_MESSAGE = 256;
    private static final int SNAPSHOT_CHUNK_BYTES = 1 << 18;
    private static final int TRAILING_ENTRIES = 1_000;
    private static final int MAXIMUM_PENDING_PROPOSALS = 20_000;
    private static final double LEASE_TO_ELECTION_TIMEOUT_RATIO = 0.8;
    private static final int TICKS_PER_HEARTBEAT = 4;

    private final ControlLoop loop;
    private final Identity identity;
    private final Observer observer;
    private final ControlReplica replica;
    private final DiskWriter writer;
    private boolean flushScheduled;
    private Role lastRole = Role.FOLLOWER;

    /**
     * Starts the replica from what its disk holds.
     *
     * @param setup the disk, the identity and the times of the replica.
     * @param loop the control thread.
     * @param network carries messages to other replicas.
     * @param applied is notified of changes of the state.
     */
    public ReplicaHost(Setup setup, ControlLoop loop, Network network, ControlReplica.AppliedListener applied) {
        this.loop = loop;
        identity = setup.identity();
        observer = setup.observer();
        FileDisk disk = new FileDisk(setup.folder(), identity);
        Recovered recovered = disk.recover();
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
                new ControlReplica.Surroundings(
                        (to, message) -> network.send(identity.replica(), to, message), writer, applied, new Random()),
                loop.nowMillis());
        loop.repeat(this::tick, Math.max(1, setup.options().raft().heartbeatMillis() / TICKS_PER_HEARTBEAT));
        requestFlush();
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
                new ControlReplica.Options(
                        raft, state, settings.limits().entriesPerSnapshot(), MAXIMUM_PENDING_PROPOSALS),
                settings.limits().minimumFreeBytes(),
                Observer.LogObserver.INSTANCE);
    }

    /**
     * Makes the options of the consensus core from its two main times.
     *
     * @param heartbeatMillis how often a leader shows that it leads, in milliseconds.
     * @param electionMillis how long a follower waits at least before it seeks an election, in milliseconds.
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
     * Returns the node of a replica.
     *
     * @param replica the identity of the replica.
     * @return the name of its node.
     */
    public static String nodeOf(String replica) {
        return replica.substring(0, replica.indexOf('#'));
    }

    /**
     * Takes a message from another replica.
     *
     * @param from the identity of the sender.
     * @param to the identity that is meant.
     * @param message the message.
     */
    public void receive(String from, String to, RaftMessage message) {
        // A message for an earlier disk of this node must not be taken by the new one.
        if (to.equals(identity.replica())) {
            replica.receive(from, message, loop.nowMillis());
            requestFlush();
        }
    }

    /**
     * Proposes a command.
     *
     * @param command the command.
     * @param listener receives the outcome, on the control thread.
     */
    public void propose(ControlCommand command, Proposal.Listener listener) {
        replica.propose(command, listener, loop.nowMillis());
        requestFlush();
    }

    /**
     * Starts the replacement of a lost replica.
     *
     * @param learner the identity of the blank replica.
     * @param replaced the identity of the lost one, or an empty text to add one.
     * @return whether the change was started.
     */
    public boolean replace(String learner, String replaced) {
        boolean started = replica.replace(learner, replaced);
        requestFlush();
        return started;
    }

    /** Returns the latest state, if this replica may answer from it now. */
    Optional<ControlState> readableState() {
        return replica.core().mayRead(loop.nowMillis()) ? Optional.of(replica.state()) : Optional.empty();
    }

    /**
     * Returns whether this replica leads, as far as it knows.
     *
     * @return whether it leads.
     */
    public boolean isLeader() {
        return replica.core().role() == Role.LEADER;
    }

    /**
     * Hands leadership to a follower, as before a planned stop.
     *
     * @return whether a follower was asked.
     */
    public boolean transferLeadership() {
        boolean asked = replica.core().transferLeadership();
        requestFlush();
        return asked;
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
     * Returns the node of the leader.
     *
     * @return the name, or an empty text where none is known.
     */
    public String leaderNode() {
        String leader = replica.core().leader();
        return leader.isEmpty() ? "" : nodeOf(leader);
    }

    /**
     * Returns the present term.
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
     * Returns the replicas that vote.
     *
     * @return their identities.
     */
    public List<String> voters() {
        return List.copyOf(replica.core().configuration().voters());
    }

    /**
     * Returns the replicas that are catching up.
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
            observer.onRole(identity.replica(), role, term());
        }
    }

    /** Lets everything that waits on the control thread happen first, so that it shares one sync of the disk. */
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
     * Returns the state as this replica has applied it, whether or not it is the latest one.
     *
     * @return the state.
     */
    public ControlState state() {
        return replica.state();
    }

    /**
     * Returns whether a majority has confirmed after a moment that this replica leads.
     *
     * @param since the clock of the control thread in milliseconds when the read began.
     * @return whether the state may be answered from.
     */
    public boolean confirmedSince(long since) {
        return replica.core().confirmedSince(since);
    }

    /**
     * Returns whether a replica votes or learns here.
     *
     * @param other the identity of the replica.
     * @return whether the latest configuration holds it.
     */
    public boolean knows(String other) {
        return replica.core().configuration().contains(other);
    }

    /**
     * Holds what a replica is made of.
     *
     * @param folder the folder of its disk.
     * @param identity the identity of that disk.
     * @param options sizes and times.
     * @param minimumFreeBytes the free space below which nothing is proposed.
     * @param observer receives how the replica fares.
     */
    public record Setup(
            DataFolder folder,
            Identity identity,
            ControlReplica.Options options,
            long minimumFreeBytes,
            Observer observer) {}

    /**
     * Receives how a replica fares.
     */
    public interface Observer {
        /**
         * Learns what the disk held.
         *
         * @param name the identity of the replica.
         * @param entries how many entries follow the snapshot.
         * @param snapshotIndex the index that the snapshot reaches to.
         */
        void onStarted(String name, int entries, long snapshotIndex);

        /**
         * Learns of a changed role.
         *
         * @param name the identity of the replica.
         * @param role the new role.
         * @param term the term.
         */
        void onRole(String name, Role role, long term);

        /** Writes both to the log. */
        enum LogObserver implements Observer {
            /** The only instance. */
            INSTANCE;

            /** {@inheritDoc} */
            @Override
            public void onStarted(String name, int entries, long snapshotIndex) {
                PartLog.CONTROL.info(
                        "Replica " + name + " starts with " + entries + " entries behind index " + snapshotIndex + '.');
            }

            /** {@inheritDoc} */
            @Override
            public void onRole(String name, Role role, long term) {
                PartLog.CONTROL.info("Replica " + name + " is " + role + " in term " + term + '.');
            }
        }
    }

    /**
     * Carries messages between replicas.
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
