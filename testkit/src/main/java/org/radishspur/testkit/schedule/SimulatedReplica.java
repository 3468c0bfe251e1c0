package org.radishspur.testkit.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.radishspur.replication.control.ControlReplica;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;
import org.radishspur.replication.state.StateOptions;

/**
 * Runs one replica whose process can crash, freeze and lose its disk, and whose clock runs a little fast or slow.
 */
final class SimulatedReplica {
    private static final int ENTRIES_PER_SNAPSHOT = 40;
    private static final int MAXIMUM_PENDING_PROPOSALS = 1_000;
    private static final int TRAILING_ENTRIES = 10;
    private static final int SNAPSHOT_PART_BYTES = 8_000;
    private static final double MAXIMUM_CLOCK_DRIFT = 0.04;

    private final World world;
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
            World world, Random random, String node, String identity, Configuration initial, RaftOptions raftOptions) {
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
     * Returns the monotonic clock of the host. Where leaders hold no lease it stands still while the host is frozen, as that of
     * a suspended machine does.
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
                        raftOptions, StateOptions.STANDARD, ENTRIES_PER_SNAPSHOT, MAXIMUM_PENDING_PROPOSALS),
                identity,
                disk.recover(),
                new ControlReplica.Surroundings(
                        (to, message) -> world.send(this, to, message), new DelayedWriter(), state -> {}, random),
                clock());
        step();
    }

    /** Ends the process; of the batches that are not yet synced, the first few may have reached the disk anyway. */
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
        world.crashed(this);
    }

    /** Loses the disk; the next start is that of a blank replica under an identity that was never used before. */
    void loseDisk(String freshIdentity) {
        crash();
        identity = freshIdentity;
        disk = new MemoryDisk(Configuration.ofVoters(java.util.Set.of()));
    }

    /** Returns the options of a replica that answers reads under a lease of some milliseconds, or of none. */
    static RaftOptions options(long leaseMillis) {
        return new RaftOptions(50, 300, leaseMillis, 16, SNAPSHOT_PART_BYTES, TRAILING_ENTRIES);
    }

    void freeze() {
        frozenAt = freezeCount == 0 ? world.now() : frozenAt;
        freezeCount++;
    }

    void thaw() {
        boolean wakes = freezeCount == 1;
        freezeCount = Math.max(0, freezeCount - 1);
        if (wakes && raftOptions.leaseMillis() == 0) {
            clockStoppedMillis += world.now() - frozenAt;
        }
    }

    void tick() {
        if (isRunning()) {
            replica.tick(clock());
            step();
        }
    }

    void receive(String from, RaftMessage message) {
        if (isRunning()) {
            replica.receive(from, message, clock());
            step();
        }
    }

    void step() {
        replica.flush(clock());
        world.observe(this);
    }

    private void finishWrite(int ofRun) {
        if (replica == null || ofRun != runNumber || pendingWrites.isEmpty()) {
            return;
        }
        if (freezeCount > 0) {
            world.schedule(() -> finishWrite(ofRun), 1);
            return;
        }
        PendingWrite pending = pendingWrites.removeFirst();
        disk.write(pending.batch());
        pending.written().accept(clock());
        step();
    }

    /**
     * Holds a batch on its way to the disk.
     *
     * @param batch the batch.
     * @param written what waits for it.
     */
    private record PendingWrite(WriteBatch batch, LongConsumer written) {}

    /**
     * Writes batches after a random time, in order.
     */
    private final class DelayedWriter implements ControlReplica.Writer {
        /** {@inheritDoc} */
        @Override
        public void write(WriteBatch batch, LongConsumer written) {
            pendingWrites.addLast(new PendingWrite(batch, written));
            int ofRun = runNumber;
            world.schedule(() -> finishWrite(ofRun), world.writeDelay());
        }

        /** {@inheritDoc} */
        @Override
        public void stage(Supplier<Snapshot> making, Consumer<Snapshot> staged) {
            int ofRun = runNumber;
            world.schedule(
                    () -> {
                        if (replica != null && ofRun == runNumber) {
                            staged.accept(making.get());
                            step();
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
     * Gives a replica its network, its clock and its observer.
     */
    interface World {
        /**
         * Returns the true time.
         *
         * @return the time in milliseconds.
         */
        long now();

        /**
         * Returns how long the next write takes.
         *
         * @return the time in milliseconds.
         */
        long writeDelay();

        /**
         * Runs an action later.
         *
         * @param action the action.
         * @param delay the time in milliseconds.
         */
        void schedule(Runnable action, long delay);

        /**
         * Sends a message.
         *
         * @param from the sender.
         * @param to the identity of the receiver.
         * @param message the message.
         */
        void send(SimulatedReplica from, String to, RaftMessage message);

        /**
         * Checks what must always hold.
         *
         * @param replica the replica that has just made a step.
         */
        void observe(SimulatedReplica replica);

        /**
         * Learns that a process has ended.
         *
         * @param replica the replica.
         */
        void crashed(SimulatedReplica replica);
    }
}
