package org.radishspur.testkit.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.replication.control.ProposalOutcome;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.ControlCommand;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs three replicas with slow disks in virtual time.
 */
class SlowDisksTest {
    private static final long LEASE_MILLIS = 220;
    private static final long START_MILLIS = 10_000;
    private static final long TICK_MILLIS = 10;
    private static final long NETWORK_DELAY_MILLIS = 1;
    private static final long SETTLE_MILLIS = 40_000;
    private static final long OPERATOR_TIMEOUT_MILLIS = 40_000;
    private static final long RESEND_INTERVAL_MILLIS = 500;
    private static final int EDIT_ROUNDS = 40;

    /** Guards against edits that are never committed on slow disks once the leader is frozen. */
    @Property(tries = 60, seed = "23")
    void anEditIsCommittedAfterTheLeaderIsFrozen(
            @ForAll @IntRange(min = 1, max = 2_000) int writeMillis, @ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(writeMillis, seed);
        cluster.advance(SETTLE_MILLIS);
        cluster.leader().freeze();
        long freezeMillis = cluster.now();
        while (!cluster.editCommitted && cluster.now() < freezeMillis + OPERATOR_TIMEOUT_MILLIS) {
            cluster.proposeToRunningReplicas();
            cluster.advance(RESEND_INTERVAL_MILLIS);
        }
        assertThat(cluster.editCommitted).isTrue();
    }

    /** Guards against a leader that steps down repeatedly because its followers respond only after their writes. */
    @Property(tries = 60, seed = "24")
    void aLeaderKeepsItsRoleAndTermUnderEdits(
            @ForAll @IntRange(min = 1, max = 2_000) int writeMillis, @ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(writeMillis, seed);
        cluster.advance(SETTLE_MILLIS);
        SimulatedReplica leader = cluster.leader();
        long term = leader.replica().core().term();
        for (int round = 0; round < EDIT_ROUNDS; round++) {
            cluster.proposeToRunningReplicas();
            cluster.advance(RESEND_INTERVAL_MILLIS);
        }
        assertThat(leader.replica().core().role()).isEqualTo(Role.LEADER);
        assertThat(leader.replica().core().term()).isEqualTo(term);
    }

    /**
     * Delivers messages and completes writes of the replicas in virtual time.
     */
    private static final class SimulatedCluster implements SimulatedReplica.Environment {
        private final Map<String, SimulatedReplica> replicas = new TreeMap<>();
        private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
        private final int writeMillis;
        private final Random random;
        private long now = START_MILLIS;
        private long nextEventNumber;
        private boolean editCommitted;

        SimulatedCluster(int writeMillis, long seed) {
            this.writeMillis = writeMillis;
            this.random = new Random(seed);
            Set<String> voters = Set.of("a#0", "b#0", "c#0");
            for (String voter : voters) {
                replicas.put(
                        voter,
                        new SimulatedReplica(
                                this,
                                random,
                                voter.substring(0, 1),
                                voter,
                                Configuration.ofVoters(voters),
                                SimulatedReplica.optionsWithLease(LEASE_MILLIS)));
            }
            replicas.values().forEach(SimulatedReplica::start);
            tick();
        }

        private void tick() {
            replicas.values().forEach(SimulatedReplica::tick);
            schedule(this::tick, TICK_MILLIS);
        }

        void advance(long millis) {
            long endMillis = now + millis;
            while (!events.isEmpty() && events.peek().timeMillis() <= endMillis) {
                ScheduledEvent event = events.remove();
                now = event.timeMillis();
                event.action().run();
            }
            now = endMillis;
        }

        SimulatedReplica leader() {
            List<SimulatedReplica> leaders = new ArrayList<>();
            for (int tick = 0; leaders.isEmpty() && tick < OPERATOR_TIMEOUT_MILLIS / TICK_MILLIS; tick++) {
                advance(TICK_MILLIS);
                replicas.values().stream()
                        .filter(replica -> replica.replica().core().role() == Role.LEADER)
                        .forEach(leaders::add);
            }
            assertThat(leaders).as("a leader is elected before the fault").isNotEmpty();
            return leaders.get(0);
        }

        void proposeToRunningReplicas() {
            PoolRow row = new PoolRow("pool", PoolKind.SERVICE, List.of(), 1, 1, Map.of());
            TableEdit edit = new TableEdit("change", List.of(new RowChange.PutPool(row, 0)));
            for (SimulatedReplica replica : replicas.values()) {
                if (replica.isRunning()) {
                    replica.replica()
                            .propose(
                                    new ControlCommand.ApplyEdit(edit, now),
                                    end -> editCommitted |= end instanceof ProposalOutcome.Committed,
                                    replica.clock());
                    replica.flushAndObserve();
                }
            }
        }

        /** {@inheritDoc} */
        @Override
        public long now() {
            return now;
        }

        /** {@inheritDoc} */
        @Override
        public long writeDelay() {
            return writeMillis;
        }

        /** {@inheritDoc} */
        @Override
        public void schedule(Runnable action, long delay) {
            events.add(new ScheduledEvent(now + delay, nextEventNumber++, action));
        }

        /** {@inheritDoc} */
        @Override
        public void send(SimulatedReplica from, String to, RaftMessage message) {
            schedule(() -> replicas.get(to).receive(from.identity(), message), NETWORK_DELAY_MILLIS);
        }

        /** {@inheritDoc} */
        @Override
        public void observe(SimulatedReplica replica) {
            // ReplicaScheduleTest checks safety.
        }

        /** {@inheritDoc} */
        @Override
        public void onCrash(SimulatedReplica replica) {
            throw new IllegalStateException("no replica crashes in this test");
        }
    }

    /**
     * Holds an action that is scheduled for a time.
     *
     * @param timeMillis the virtual time of the action, in milliseconds.
     * @param sequenceNumber the order among events of the same time.
     * @param action the action to run.
     */
    private record ScheduledEvent(long timeMillis, long sequenceNumber, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return timeMillis != other.timeMillis
                    ? Long.compare(timeMillis, other.timeMillis)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }
}
