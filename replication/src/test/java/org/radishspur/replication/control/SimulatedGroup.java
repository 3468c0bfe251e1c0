package org.radishspur.replication.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;
import org.radishspur.replication.state.CatalogueState;
import org.radishspur.replication.state.ControlCommand;
import org.radishspur.replication.state.StateOptions;

/**
 * Runs three replicas in virtual time whose links and disks can be cut off and slow, and observes the size of their logs.
 */
final class SimulatedGroup {
    private static final int SIZE = 3;
    private static final long START = 10_000;
    private static final long TICK_MILLIS = 15;
    private static final int MAXIMUM_PENDING = 1_000;

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::number));
    private final List<Member> members = new ArrayList<>();
    private long now = START;
    private long lastStep;

    SimulatedGroup(RaftOptions raft, int entriesPerSnapshot) {
        Set<String> identities = new TreeSet<>();
        for (int number = 0; number < SIZE; number++) {
            identities.add(identityOf(number));
        }
        RecoveredState blank =
                new RecoveredState(HardState.INITIAL, Snapshot.initial(Configuration.ofVoters(identities)), List.of());
        ControlReplica.Options options =
                new ControlReplica.Options(raft, StateOptions.DEFAULTS, entriesPerSnapshot, MAXIMUM_PENDING);
        for (int number = 0; number < SIZE; number++) {
            members.add(new Member(identityOf(number), blank, options));
        }
        members.forEach(member -> later(member::tick, TICK_MILLIS));
    }

    private static String identityOf(int number) {
        return "replica-" + number;
    }

    private void later(Runnable action, long delay) {
        steps.add(new Step(now + delay, lastStep++, action));
    }

    void run(long millis) {
        long until = now + millis;
        while (!steps.isEmpty() && steps.peek().at() <= until) {
            Step step = steps.remove();
            now = step.at();
            step.action().run();
        }
        now = until;
    }

    /** Returns the leader, once there is one. */
    Member leader() {
        while (true) {
            for (Member member : members) {
                if (member.replica.core().role() == Role.LEADER) {
                    return member;
                }
            }
            run(TICK_MILLIS);
        }
    }

    List<Member> members() {
        return members;
    }

    /** Proposes a document until it is committed, and returns how often the proposal was refused. */
    int publish(CatalogueState.Document document) {
        int[] outcomes = new int[2];
        while (outcomes[0] == 0) {
            Member proposer = leader();
            proposer.replica.propose(
                    new ControlCommand.PublishCatalogue(document, now),
                    outcome -> outcomes[outcome instanceof ProposalOutcome.Committed ? 0 : 1]++,
                    now);
            proposer.flush();
            run(TICK_MILLIS);
        }
        return outcomes[1];
    }

    /** Proposes a document once, without waiting for the outcome. */
    void propose(CatalogueState.Document document) {
        Member proposer = leader();
        proposer.replica.propose(new ControlCommand.PublishCatalogue(document, now), outcome -> {}, now);
        proposer.flush();
    }

    /** Returns the largest size that a log has had in memory. */
    long peakBytes() {
        return members.stream().mapToLong(member -> member.peakBytes).max().orElseThrow();
    }

    /**
     * Something that happens at a time.
     *
     * @param at the time.
     * @param number orders steps of the same time.
     * @param action what happens.
     */
    private record Step(long at, long number, Runnable action) {}

    /** One replica with its link and disk. */
    final class Member implements ControlReplica.Writer {
        private final String identity;
        private final ControlReplica replica;
        private boolean cutOff;
        private long writeMillis = 1;
        private long snapshotMillis = 1;
        private long diskFreeAt;
        private long peakBytes;

        Member(String identity, RecoveredState recovered, ControlReplica.Options options) {
            this.identity = identity;
            replica = new ControlReplica(
                    options,
                    identity,
                    recovered,
                    new ControlReplica.Environment(this::send, this, state -> {}, new Random(identity.hashCode())),
                    now);
        }

        /** Cuts the replica off from the others, or ends that. */
        void setCutOff(boolean cut) {
            cutOff = cut;
        }

        /** Sets how long the disk takes for a batch and for a snapshot, in milliseconds. */
        void setDiskMillis(long batch, long snapshot) {
            writeMillis = batch;
            snapshotMillis = snapshot;
        }

        long revision() {
            return replica.state().catalogue().document().revision();
        }

        private void tick() {
            replica.tick(now);
            flush();
            later(this::tick, TICK_MILLIS);
        }

        private void flush() {
            replica.flush(now);
            long bytes = 0;
            for (long index = replica.core().firstIndex();
                    index <= replica.core().lastIndex();
                    index++) {
                bytes += replica.core().entry(index).size();
            }
            peakBytes = Math.max(peakBytes, bytes);
        }

        private void send(String to, org.radishspur.replication.raft.RaftMessage message) {
            Member receiver = members.stream()
                    .filter(member -> member.identity.equals(to))
                    .findFirst()
                    .orElseThrow();
            later(
                    () -> {
                        if (!cutOff && !receiver.cutOff) {
                            receiver.replica.receive(identity, message, now);
                            receiver.flush();
                        }
                    },
                    1);
        }

        /** {@inheritDoc} */
        @Override
        public void write(WriteBatch batch, LongConsumer onWritten) {
            diskFreeAt = Math.max(diskFreeAt, now) + writeMillis;
            later(
                    () -> {
                        onWritten.accept(now);
                        flush();
                    },
                    diskFreeAt - now);
        }

        /** {@inheritDoc} */
        @Override
        public void prepareSnapshot(Supplier<Snapshot> snapshotSupplier, Consumer<Snapshot> onStaged) {
            later(
                    () -> {
                        onStaged.accept(snapshotSupplier.get());
                        flush();
                    },
                    snapshotMillis);
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasSpace() {
            return true;
        }
    }
}
