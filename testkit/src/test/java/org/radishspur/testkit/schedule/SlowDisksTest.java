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
import org.radishspur.replication.control.Proposal;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.ControlCommand;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs three replicas in virtual time whose disks take long for each write.
 */
class SlowDisksTest {
    private static final long LEASE_MILLIS = 220;
    private static final long STARTS_AT = 10_000;
    private static final long TICK_MILLIS = 10;
    private static final long LINK_MILLIS = 1;
    private static final long SETTLE_MILLIS = 40_000;
    private static final long OPERATOR_WAIT_MILLIS = 40_000;
    private static final long RESEND_MILLIS = 500;
    private static final int EDITS = 40;

    /** Guards against an edit without an answer for as long as disks are slow, once the leader is frozen. */
    @Property(tries = 60, seed = "23")
    void anEditIsAnsweredAfterTheLeaderIsFrozen(
            @ForAll @IntRange(min = 1, max = 2_000) int writeMillis, @ForAll long seed) {
        Group group = new Group(writeMillis, seed);
        group.advance(SETTLE_MILLIS);
        group.leader().freeze();
        long frozenAt = group.now();
        while (!group.answered && group.now() < frozenAt + OPERATOR_WAIT_MILLIS) {
            group.proposeEverywhere();
            group.advance(RESEND_MILLIS);
        }
        assertThat(group.answered).isTrue();
    }

    /** Guards against a leader that steps down again and again since its followers answer only after their writes. */
    @Property(tries = 60, seed = "24")
    void aLeaderStays(@ForAll @IntRange(min = 1, max = 2_000) int writeMillis, @ForAll long seed) {
        Group group = new Group(writeMillis, seed);
        group.advance(SETTLE_MILLIS);
        SimulatedReplica leader = group.leader();
        long term = leader.replica().core().term();
        for (int edit = 0; edit < EDITS; edit++) {
            group.proposeEverywhere();
            group.advance(RESEND_MILLIS);
        }
        assertThat(leader.replica().core().role()).isEqualTo(Role.LEADER);
        assertThat(leader.replica().core().term()).isEqualTo(term);
    }

    /**
     * Carries messages and writes in virtual time.
     */
    private static final class Group implements SimulatedReplica.World {
        private final Map<String, SimulatedReplica> replicas = new TreeMap<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final int writeMillis;
        private final Random random;
        private long now = STARTS_AT;
        private long sequence;
        private boolean answered;

        Group(int writeMillis, long seed) {
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
                                SimulatedReplica.options(LEASE_MILLIS)));
            }
            replicas.values().forEach(SimulatedReplica::start);
            tick();
        }

        private void tick() {
            replicas.values().forEach(SimulatedReplica::tick);
            schedule(this::tick, TICK_MILLIS);
        }

        void advance(long millis) {
            long until = now + millis;
            while (!events.isEmpty() && events.peek().at() <= until) {
                Event event = events.remove();
                now = event.at();
                event.action().run();
            }
            now = until;
        }

        SimulatedReplica leader() {
            List<SimulatedReplica> leaders = new ArrayList<>();
            for (int wait = 0; leaders.isEmpty() && wait < OPERATOR_WAIT_MILLIS / TICK_MILLIS; wait++) {
                advance(TICK_MILLIS);
                replicas.values().stream()
                        .filter(replica -> replica.replica().core().role() == Role.LEADER)
                        .forEach(leaders::add);
            }
            assertThat(leaders).as("a leader before the fault").isNotEmpty();
            return leaders.get(0);
        }

        void proposeEverywhere() {
            PoolRow row = new PoolRow("pool", PoolKind.SERVICE, List.of(), 1, 1, Map.of());
            TableEdit edit = new TableEdit("change", List.of(new RowChange.PutPool(row, 0)));
            for (SimulatedReplica replica : replicas.values()) {
                if (replica.isRunning()) {
                    replica.replica()
                            .propose(
                                    new ControlCommand.ApplyEdit(edit, now),
                                    end -> answered |= end instanceof Proposal.Committed,
                                    replica.clock());
                    replica.step();
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
            events.add(new Event(now + delay, sequence++, action));
        }

        /** {@inheritDoc} */
        @Override
        public void send(SimulatedReplica from, String to, RaftMessage message) {
            schedule(() -> replicas.get(to).receive(from.identity(), message), LINK_MILLIS);
        }

        /** {@inheritDoc} */
        @Override
        public void observe(SimulatedReplica replica) {
            // Safety is checked over random schedules.
        }

        /** {@inheritDoc} */
        @Override
        public void crashed(SimulatedReplica replica) {
            throw new IllegalStateException("no process ends here");
        }
    }

    /**
     * Holds something that is to happen.
     *
     * @param at the time in milliseconds.
     * @param number the order among events of one time.
     * @param action what happens.
     */
    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }
}
