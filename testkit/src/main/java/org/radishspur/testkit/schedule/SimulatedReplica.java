package org.radishspur.testkit.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.radishspur.replication.control.ControlReplica;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.LogLimits;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;
import org.radishspur.replication.state.StateOptions;

/**
 * Runs one replica in virtual time. Its process can crash, freeze and lose its disk, and its clock runs slightly fast
 * or slow.
 */
final class SimulatedReplica {
    private static final int ENTRIES_PER_SNAPSHOT = 40;
    private static final int MAXIMUM_PENDING_PROPOSALS = 1_000;
    private static final int TRAILING_ENTRIES = 10;
    private static final int SNAPSHOT_PART_BYTES = 8_000;
    /** Small enough that the entries of a schedule reach them. */
    private static final LogLimits LOG_LIMITS = new LogLimits(1_000, 4_000, 1_500, 6_000, 200_000);

    /** The clock's rate differs from that of virtual time by this share at most. */
    private static final double MAXIMUM_CLOCK_DRIFT = 0.04;

    private final Environment world;
    private final Random random;
    private final String node;
    private final double clockRate;
    private final RaftOptions raftOptions;
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private String identity;
    private MemoryDisk disk;
    private ControlReplica replica;
    private int runNumber;
    private int freezeCount;
    private long frozenAt;
    private long clockStoppedMillis;

    SimulatedReplica(
            Environment world,
            Random random,
            String node,
            String identity,
            Configuration initial,
            RaftOptions raftOptions) {
        this.raftOptions = raftOptions;
        this.world = world;
        this.random = random;
        this.node = node;
        this.identity = identity;
        this.disk = new MemoryDisk(initial);
        this.clockRate = 1 - MAXIMUM_CLOCK_DRIFT + 2 * MAXIMUM_CLOCK_DRIFT * random.nextDouble();
    }

    String node() {
        return node;
    }

    String identity() {
        return identity;
    }

    /** Returns the replica, or null while its process is down. */
    ControlReplica replica() {
        return replica;
    }

    boolean isRunning() {
        return replica != null && freezeCount == 0;
    }

    /**
     * Returns the monotonic clock of the host, in milliseconds. If leaders hold no lease, the clock stops while the
     * host is frozen, as on a suspended machine.
     */
    long clock() {
        return (long) ((world.now() - clockStoppedMillis) * clockRate);
    }

    void start() {
        if (replica != null) {
            return;
        }
        runNumber++;
        replica = new ControlReplica(
                new ControlReplica.Options(
                        raftOptions, StateOptions.DEFAULTS, ENTRIES_PER_SNAPSHOT, MAXIMUM_PENDING_PROPOSALS),
                identity,
                disk.recover(),
                new ControlReplica.Environment(
                        (to, message) -> world.send(this, to, message), new DelayedWriter(), state -> {}, random),
                clock());
        flushAndObserve();
    }

    /** Ends the process. Of the batches not yet synced, a random number of the first ones reach the disk. */
    void crash() {
        if (replica == null) {
            return;
        }
        int survivors = pendingWrites.isEmpty() ? 0 : random.nextInt(pendingWrites.size() + 1);
        for (int index = 0; index < survivors; index++) {
            disk.write(pendingWrites.removeFirst().batch());
        }
        pendingWrites.clear();
        replica = null;
        freezeCount = 0;
        world.onCrash(this);
    }

    /**
     * Ends the process and loses its disk. The next start is that of a blank replica under an identity never used
     * before.
     */
    void loseDisk(String freshIdentity) {
        crash();
        identity = freshIdentity;
        disk = new MemoryDisk(Configuration.ofVoters(java.util.Set.of()));
    }

    /** Returns the Raft options for a read lease of the given number of milliseconds, or for none if 0. */
    static RaftOptions optionsWithLease(long leaseMillis) {
        return new RaftOptions(50, 300, leaseMillis, 16, SNAPSHOT_PART_BYTES, TRAILING_ENTRIES, LOG_LIMITS);
    }

    void freeze() {
        frozenAt = freezeCount == 0 ? world.now() : frozenAt;
        freezeCount++;
    }

    void thaw() {
        boolean resumes = freezeCount == 1;
        freezeCount = Math.max(0, freezeCount - 1);
        if (resumes && raftOptions.leaseMillis() == 0) {
            clockStoppedMillis += world.now() - frozenAt;
        }
    }

    void tick() {
        if (isRunning()) {
            replica.tick(clock());
            flushAndObserve();
        }
    }

    void receive(String from, RaftMessage message) {
        if (isRunning()) {
            replica.receive(from, message, clock());
            flushAndObserve();
        }
    }

    void flushAndObserve() {
        replica.flush(clock());
        world.observe(this);
    }

    private void finishWrite(int expectedRun) {
        if (replica == null || expectedRun != runNumber || pendingWrites.isEmpty()) {
            return;
        }
        if (freezeCount > 0) {
            world.schedule(() -> finishWrite(expectedRun), 1);
            return;
        }
        PendingWrite pending = pendingWrites.removeFirst();
        disk.write(pending.batch());
        pending.written().accept(clock());
        flushAndObserve();
    }

    /**
     * Holds a batch that is not yet durable.
     *
     * @param batch the batch.
     * @param written called with the clock once the batch is durable.
     */
    private record PendingWrite(WriteBatch batch, LongConsumer written) {}

    /**
     * Makes batches durable in order, each after a delay.
     */
    private final class DelayedWriter implements ControlReplica.Writer {
        /** {@inheritDoc} */
        @Override
        public void write(WriteBatch batch, LongConsumer written) {
            pendingWrites.addLast(new PendingWrite(batch, written));
            int expectedRun = runNumber;
            world.schedule(() -> finishWrite(expectedRun), world.writeDelay());
        }

        /** {@inheritDoc} */
        @Override
        public void prepareSnapshot(Supplier<Snapshot> snapshotSource, Consumer<Snapshot> staged) {
            int expectedRun = runNumber;
            world.schedule(
                    () -> {
                        if (replica != null && expectedRun == runNumber) {
                            staged.accept(snapshotSource.get());
                            flushAndObserve();
                        }
                    },
                    world.writeDelay());
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasSpace() {
            return true;
        }
    }

    /**
     * Provides the simulated environment of a replica: time, write delays, network and checks.
     */
    interface Environment {
        /**
         * Returns the virtual time, which is free of the replicas' clock drift.
         *
         * @return the time in milliseconds.
         */
        long now();

        /**
         * Returns the delay of the next write.
         *
         * @return the time in milliseconds.
         */
        long writeDelay();

        /**
         * Runs an action later.
         *
         * @param action the action.
         * @param delay the delay in milliseconds.
         */
        void schedule(Runnable action, long delay);

        /**
         * Sends a message, which may be delayed, duplicated or lost.
         *
         * @param from the sender.
         * @param to the identity of the receiver.
         * @param message the message.
         */
        void send(SimulatedReplica from, String to, RaftMessage message);

        /**
         * Checks the invariants after a step of a replica.
         *
         * @param replica the replica that has just made a step.
         */
        void observe(SimulatedReplica replica);

        /**
         * Handles the end of a replica's process.
         *
         * @param replica the replica whose process has ended.
         */
        void onCrash(SimulatedReplica replica);
    }
}
