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
import org.radishspur.replication.raft.Recovered;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.ControlState;
import org.radishspur.replication.state.StateOptions;

/**
 * Carries out what the consensus core decides: it sends, writes, applies and answers. The control thread owns it.
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
    private boolean snapshotInProgress;
    private long lastApplied;

    /**
     * Creates a replica from what its disk held.
     *
     * @param options sizes and times.
     * @param self the identity of the disk.
     * @param recovered what the disk held.
     * @param surroundings carries out what the replica decides.
     * @param now the monotonic clock in milliseconds.
     */
    public ControlReplica(Options options, String self, Recovered recovered, Surroundings surroundings, long now) {
        this.options = options;
        this.core = new RaftCore(options.raft(), self, recovered, surroundings.random(), now);
        this.state = new ControlState(options.state());
        this.network = surroundings.network();
        this.writer = surroundings.writer();
        this.appliedListener = surroundings.appliedListener();
    }

    /**
     * Lets time pass.
     *
     * @param now the monotonic clock in milliseconds.
     */
    public void tick(long now) {
        core.tick(now);
        if (core.role() == Role.LEADER) {
            advanceMembership();
        }
    }

    /**
     * Takes a message from another replica.
     *
     * @param from the identity of the sender.
     * @param message the message.
     * @param now the monotonic clock in milliseconds.
     */
    public void receive(String from, RaftMessage message, long now) {
        core.receive(from, message, now);
    }

    /**
     * Proposes a command.
     *
     * @param command the command.
     * @param listener receives the outcome, exactly once.
     * @param now the monotonic clock in milliseconds.
     */
    public void propose(ControlCommand command, Proposal.Listener listener, long now) {
        if (pending.size() >= options.maximumPending() || !writer.hasSpace()) {
            listener.onEnd(core.role() == Role.LEADER ? new Proposal.Busy() : new Proposal.NotLeader(core.leader()));
            return;
        }
        OptionalLong index = core.propose(MessagePack.INSTANCE.encode(command, ControlCommand.class), now);
        if (index.isEmpty()) {
            listener.onEnd(new Proposal.NotLeader(core.leader()));
            return;
        }
        pending.put(index.getAsLong(), new PendingProposal(core.term(), listener));
    }

    /**
     * Proposes that a blank replica takes the place of one that is lost.
     *
     * @param learner the identity of the blank replica.
     * @param replaced the identity of the lost replica, or an empty text to add one.
     * @return whether the change was started.
     */
    public boolean replace(String learner, String replaced) {
        Configuration present = core.configuration();
        if (present.contains(learner)
                || !replaced.isEmpty() && !present.voters().contains(replaced)) {
            return false;
        }
        return core.proposeConfiguration(present.withLearner(learner, replaced)).isPresent();
    }

    /**
     * Carries out everything that the steps since the last call have led to. Several steps share one call, and so one
     * sync of the disk.
     *
     * @param now the monotonic clock in milliseconds.
     */
    public void flush(long now) {
        Effects effects = core.drain();
        effects.immediate().forEach(outbound -> network.send(outbound.to(), outbound.message()));
        effects.installed().ifPresent(snapshot -> {
            state.restore(snapshot.state());
            lastApplied = snapshot.lastIndex();
            appliedListener.onApplied(state);
        });
        if (!effects.write().isEmpty() || !effects.afterWrite().isEmpty()) {
            writer.write(effects.write(), writtenAt -> {
                effects.afterWrite().forEach(outbound -> network.send(outbound.to(), outbound.message()));
                if (!effects.write().isEmpty()) {
                    core.persisted(effects.write(), now, writtenAt);
                }
            });
        }
        apply(effects.committed());
        failPendingProposals();
        takeSnapshotIfDue();
    }

    /**
     * Returns the consensus core, for its observable state.
     *
     * @return the core.
     */
    public RaftCore core() {
        return core;
    }

    /**
     * Returns the state machine; only a caller that has checked {@link RaftCore#mayRead} reads the latest state.
     *
     * @return the state.
     */
    public ControlState state() {
        return state;
    }

    private void apply(List<LogEntry> committed) {
        boolean changed = false;
        for (LogEntry entry : committed) {
            lastApplied = entry.index();
            appliedSinceSnapshot++;
            if (entry.payload() instanceof LogEntry.Payload.Command command) {
                var answer = state.apply(MessagePack.INSTANCE.decode(command.bytes(), ControlCommand.class));
                PendingProposal waiting = pending.remove(entry.index());
                if (waiting != null) {
                    waiting.listener()
                            .onEnd(
                                    waiting.term() == entry.term()
                                            ? new Proposal.Committed(answer)
                                            : new Proposal.InDoubt());
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
            List<PendingProposal> orphans = new ArrayList<>(pending.values());
            pending.clear();
            orphans.forEach(orphan -> orphan.listener().onEnd(new Proposal.InDoubt()));
        }
    }

    /**
     * Starts a snapshot when enough entries have been applied since the last one, the more the larger the state is, so
     * that the work for each entry stays the same. Only the quick copy is made here; encoding and storing it would hold
     * up heartbeats long enough for an election.
     */
    private void takeSnapshotIfDue() {
        long due = Math.max(options.entriesPerSnapshot(), state.claims().size());
        if (appliedSinceSnapshot < due || snapshotInProgress) {
            return;
        }
        appliedSinceSnapshot = 0;
        snapshotInProgress = true;
        Snapshot described = core.describe(lastApplied);
        ControlState.Image image = state.image();
        writer.stage(() -> described.withState(image.encode()), snapshot -> {
            snapshotInProgress = false;
            core.compact(snapshot);
        });
    }

    /**
     * Drives a replacement one step further. Which step is next follows from the configuration alone, so the next
     * leader goes on where this one stops.
     *
     * <p>Guards against a second loss during a repair: the blank replica votes only once its disk holds everything
     * committed, and the lost voter goes only after that change is committed by a majority that includes both.
     */
    private void advanceMembership() {
        Configuration present = core.configuration();
        if (!present.retiring().isEmpty()) {
            core.proposeConfiguration(
                    present.without(present.retiring().iterator().next()));
            return;
        }
        for (Map.Entry<String, String> learner : present.learners().entrySet()) {
            if (core.isCaughtUp(learner.getKey())) {
                core.proposeConfiguration(present.withPromoted(learner.getKey()));
                return;
            }
        }
    }

    /**
     * Holds what a replica needs around it.
     *
     * @param network sends messages to other replicas; it may lose them.
     * @param writer makes batches durable, in order.
     * @param appliedListener is notified of every change of the state.
     * @param random the source of randomness.
     */
    public record Surroundings(
            Network network, Writer writer, AppliedListener appliedListener, RandomGenerator random) {}

    /**
     * Sends messages to other replicas.
     */
    public interface Network {
        /**
         * Sends a message, which may be lost, delayed, repeated or overtaken.
         *
         * @param replica the identity of the receiver.
         * @param message the message.
         */
        void send(String replica, RaftMessage message);
    }

    /**
     * Makes batches durable.
     */
    public interface Writer {
        /**
         * Makes a batch durable after every earlier one, then runs an action on the control thread.
         *
         * @param batch what to write, perhaps nothing.
         * @param written what to do afterwards; takes the monotonic clock in milliseconds.
         */
        void write(WriteBatch batch, LongConsumer written);

        /**
         * Makes a snapshot and stores it aside while other work goes on, then runs an action on the control thread.
         *
         * @param making makes the snapshot, on any thread.
         * @param staged takes the snapshot once it is stored.
         */
        void stage(Supplier<Snapshot> making, Consumer<Snapshot> staged);

        /**
         * Returns whether the disk has room for further proposals.
         *
         * @return whether there is space.
         */
        boolean hasSpace();
    }

    /**
     * Is notified of changes of the state.
     */
    public interface AppliedListener {
        /**
         * Takes note of a change.
         *
         * @param state the state after it.
         */
        void onApplied(ControlState state);
    }

    /**
     * Holds the sizes and times of a replica.
     *
     * @param raft the times and sizes of the consensus core.
     * @param state how long the state machine remembers.
     * @param entriesPerSnapshot how many entries are applied between snapshots.
     * @param maximumPending how many proposals may wait at once.
     */
    public record Options(RaftOptions raft, StateOptions state, int entriesPerSnapshot, int maximumPending) {
        /** Fits a cluster of today's size. */
        public static final Options STANDARD = new Options(RaftOptions.STANDARD, StateOptions.STANDARD, 10_000, 20_000);
    }

    /**
     * Remembers who waits for an entry.
     *
     * @param term the term in which the entry was proposed.
     * @param listener receives the outcome.
     */
    private record PendingProposal(long term, Proposal.Listener listener) {}
}
