package org.radishspur.replication.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.radishspur.replication.codec.MessagePack;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.Effects;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RaftCore;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.StateOptions;

/**
 * Runs one control replica. It carries out the decisions of the consensus core: it sends messages, writes to the disk,
 * applies committed entries and reports the outcomes of proposals. It is confined to the control thread.
 */
public final class ControlReplica {
    private final Options options;
    private final RaftCore core;
    private final ControlState state;
    private final Network network;
    private final Writer writer;
    private final AppliedListener appliedListener;
    private final TreeMap<Long, PendingProposal> pending = new TreeMap<>();
    private long appliedSinceSnapshot;
    private long appliedBytesSinceSnapshot;
    private boolean snapshotInProgress;
    private long lastApplied;

    /**
     * Creates a replica from the state that was recovered from its disk.
     *
     * @param options the sizes and times of the replica.
     * @param self the identity of the replica, which belongs to its disk.
     * @param recovered the state that was recovered from the disk.
     * @param environment the network, the disk, the listener and the random numbers that the replica uses.
     * @param now the time of the monotonic clock, in milliseconds.
     */
    public ControlReplica(Options options, String self, RecoveredState recovered, Environment environment, long now) {
        this.options = options;
        this.core = new RaftCore(options.raft(), self, recovered, environment.random(), now);
        this.state = new ControlState(options.state());
        this.network = environment.network();
        this.writer = environment.writer();
        this.appliedListener = environment.appliedListener();
    }

    /**
     * Handles timeouts that are due and advances a replacement of a replica; must be called regularly.
     *
     * @param now the time of the monotonic clock, in milliseconds.
     */
    public void tick(long now) {
        core.tick(now);
        if (core.role() == Role.LEADER) {
            advanceMembership();
        }
    }

    /**
     * Handles a message from another replica.
     *
     * @param from the identity of the sender.
     * @param message the message.
     * @param now the time of the monotonic clock, in milliseconds.
     */
    public void receive(String from, RaftMessage message, long now) {
        core.receive(from, message, now);
    }

    /**
     * Proposes a command for the replicated log.
     *
     * @param command the command.
     * @param listener receives the outcome, exactly once.
     * @param now the time of the monotonic clock, in milliseconds.
     */
    public void propose(ControlCommand command, ProposalOutcome.Listener listener, long now) {
        if (pending.size() >= options.maximumPending() || !writer.hasSpace()) {
            listener.onOutcome(refusal());
            return;
        }
        byte[] encoded = MessagePack.INSTANCE.encode(command, ControlCommand.class);
        // Guards against a log that grows beyond the memory while snapshots or writes take long.
        if (core.bytesInMemory() + encoded.length > options.raft().limits().totalBytes()) {
            listener.onOutcome(refusal());
            return;
        }
        OptionalLong index = core.propose(encoded, now);
        if (index.isEmpty()) {
            listener.onOutcome(new ProposalOutcome.NotLeader(core.leader()));
            return;
        }
        pending.put(index.getAsLong(), new PendingProposal(core.term(), listener));
    }

    private ProposalOutcome refusal() {
        return core.role() == Role.LEADER ? new ProposalOutcome.Busy() : new ProposalOutcome.NotLeader(core.leader());
    }

    /**
     * Starts the replacement of a lost replica by a new one, or the addition of a new replica.
     *
     * @param learner the identity of the new replica, whose disk is empty.
     * @param replaced the identity of the lost replica, or an empty string to add a replica.
     * @return whether the change was started.
     */
    public boolean replace(String learner, String replaced) {
        Configuration current = core.configuration();
        if (current.contains(learner)
                || !replaced.isEmpty() && !current.voters().contains(replaced)) {
            return false;
        }
        return core.proposeConfiguration(current.withLearner(learner, replaced)).isPresent();
    }

    /**
     * Carries out everything that the consensus core has decided since the last call. Handling several messages and
     * proposals before one call lets them share one sync of the disk.
     *
     * @param now the time of the monotonic clock, in milliseconds.
     */
    public void flush(long now) {
        Effects effects = core.takeEffects();
        effects.immediate().forEach(outbound -> network.send(outbound.to(), outbound.message()));
        effects.installedSnapshot().ifPresent(snapshot -> {
            state.restore(snapshot.state());
            lastApplied = snapshot.lastIndex();
            appliedListener.onApplied(state);
        });
        if (!effects.write().isEmpty() || !effects.afterWrite().isEmpty()) {
            writer.write(effects.write(), writtenAt -> {
                effects.afterWrite().forEach(outbound -> network.send(outbound.to(), outbound.message()));
                if (!effects.write().isEmpty()) {
                    core.onWritePersisted(effects.write(), now, writtenAt);
                }
            });
        }
        apply(effects.committed());
        failPendingProposals();
        takeSnapshotIfDue();
    }

    /**
     * Returns the consensus core, for reading its state.
     *
     * @return the core.
     */
    public RaftCore core() {
        return core;
    }

    /**
     * Returns the state machine. It may be stale unless {@link RaftCore#mayServeLeaseRead} confirms that it can be
     * read.
     *
     * @return the state machine.
     */
    public ControlState state() {
        return state;
    }

    private void apply(List<LogEntry> committed) {
        boolean changed = false;
        for (LogEntry entry : committed) {
            lastApplied = entry.index();
            appliedSinceSnapshot++;
            appliedBytesSinceSnapshot += entry.size();
            if (entry.payload() instanceof LogEntry.Payload.Command command) {
                var answer = state.apply(MessagePack.INSTANCE.decode(command.bytes(), ControlCommand.class));
                PendingProposal proposal = pending.remove(entry.index());
                if (proposal != null) {
                    proposal.listener()
                            .onOutcome(
                                    proposal.term() == entry.term()
                                            ? new ProposalOutcome.Committed(answer)
                                            : new ProposalOutcome.InDoubt());
                }
                changed = true;
            }
        }
        if (changed) {
            appliedListener.onApplied(state);
        }
    }

    private void failPendingProposals() {
        if (core.role() != Role.LEADER && !pending.isEmpty()) {
            List<PendingProposal> failed = new ArrayList<>(pending.values());
            pending.clear();
            failed.forEach(each -> each.listener().onOutcome(new ProposalOutcome.InDoubt()));
        }
    }

    /**
     * Starts a snapshot once enough entries have been applied since the last one, or entries of enough bytes. A larger
     * state requires more entries, so that the cost of snapshots per entry stays the same. Only a quick copy of the state is made on the control
     * thread: encoding and storing it there would delay heartbeats long enough to cause an election.
     */
    private void takeSnapshotIfDue() {
        long requiredEntries =
                Math.max(options.entriesPerSnapshot(), state.claims().size());
        boolean due = appliedSinceSnapshot >= requiredEntries
                || appliedBytesSinceSnapshot >= options.raft().limits().snapshotBytes();
        if (!due || snapshotInProgress) {
            return;
        }
        appliedSinceSnapshot = 0;
        appliedBytesSinceSnapshot = 0;
        snapshotInProgress = true;
        Snapshot metadata = core.snapshotWithoutState(lastApplied);
        ControlState.Image image = state.image();
        writer.prepareSnapshot(() -> metadata.withState(image.encode()), snapshot -> {
            snapshotInProgress = false;
            core.compact(snapshot);
        });
    }

    /**
     * Advances the replacement of a replica by one step. The next step follows from the configuration alone, so that a
     * new leader continues where the previous one stopped.
     *
     * <p>The order of steps protects against the loss of another replica during a replacement: the new replica becomes
     * a voter only once its disk holds everything that is committed, and the lost voter is removed only after that
     * change has been committed by a majority of a configuration that includes both.
     */
    private void advanceMembership() {
        Configuration current = core.configuration();
        if (!current.retiring().isEmpty()) {
            core.proposeConfiguration(
                    current.withoutReplica(current.retiring().iterator().next()));
            return;
        }
        for (Map.Entry<String, String> learner : current.learners().entrySet()) {
            if (core.isCaughtUp(learner.getKey())) {
                core.proposeConfiguration(current.withLearnerPromoted(learner.getKey()));
                return;
            }
        }
    }

    /**
     * Holds the services that a replica uses.
     *
     * @param network sends messages to other replicas; messages may be lost.
     * @param writer makes batches durable, in order.
     * @param appliedListener is notified of every change of the state.
     * @param random the source of random numbers.
     */
    public record Environment(
            Network network, Writer writer, AppliedListener appliedListener, RandomGenerator random) {}

    /**
     * Sends messages to other replicas.
     */
    public interface Network {
        /**
         * Sends a message, which may be lost, delayed, duplicated or reordered.
         *
         * @param replica the identity of the receiver.
         * @param message the message.
         */
        void send(String replica, RaftMessage message);
    }

    /**
     * Makes batches and snapshots durable.
     */
    public interface Writer {
        /**
         * Makes a batch durable after all earlier ones, then runs a callback on the control thread.
         *
         * @param batch the batch to write, which may be empty.
         * @param onWritten the callback, which receives the time of the monotonic clock in milliseconds.
         */
        void write(WriteBatch batch, LongConsumer onWritten);

        /**
         * Creates a snapshot and stores it in the background, then runs a callback on the control thread.
         *
         * @param snapshotSupplier creates the snapshot, on any thread.
         * @param onStaged the callback, which receives the snapshot once it is stored.
         */
        void prepareSnapshot(Supplier<Snapshot> snapshotSupplier, Consumer<Snapshot> onStaged);

        /**
         * Returns whether the disk has enough free space for further proposals.
         *
         * @return whether there is enough space.
         */
        boolean hasSpace();
    }

    /**
     * Receives a notification after each change of the state.
     */
    public interface AppliedListener {
        /**
         * Handles a change of the state.
         *
         * @param state the state after the change.
         */
        void onApplied(ControlState state);
    }

    /**
     * Holds the sizes and times of a replica.
     *
     * @param raft the times and sizes of the consensus core.
     * @param state the retention times of the state machine.
     * @param entriesPerSnapshot the minimum number of entries that are applied between two snapshots.
     * @param maximumPending the maximum number of pending proposals.
     */
    public record Options(RaftOptions raft, StateOptions state, int entriesPerSnapshot, int maximumPending) {
        /** The default options, which suit the present size of the cluster. */
        public static final Options DEFAULTS = new Options(RaftOptions.DEFAULTS, StateOptions.DEFAULTS, 10_000, 20_000);
    }

    /**
     * Holds a proposal whose outcome isn't known yet.
     *
     * @param term the term in which the proposal was appended to the log.
     * @param listener receives the outcome.
     */
    private record PendingProposal(long term, ProposalOutcome.Listener listener) {}
}
