package org.radishspur.testkit.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.radishspur.model.request.RequestKey;
import org.radishspur.model.table.EditAnswer;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.replication.control.ControlReplica;
import org.radishspur.replication.control.Proposal;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.ClaimAnswer;
import org.radishspur.replication.state.ClaimHolder;
import org.radishspur.replication.state.ControlAnswer;
import org.radishspur.replication.state.ControlCommand;

/**
 * Runs one random schedule: replicas, clients that race and resend, and faults; then an end without faults, in which
 * the replicas must recover.
 */
public final class ReplicaSchedule implements SimulatedReplica.World {
    private static final long LEASE_MILLIS = 220;
    private static final long TICK_MILLIS = 10;
    private static final long CLIENT_INTERVAL_MILLIS = 15;
    private static final long FAULT_INTERVAL_MILLIS = 200;
    private static final long START_MILLIS = 10_000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final int POOLS = 4;
    private static final int KEYS = 40;

    private final Random random;
    private final FaultRates rates;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, SimulatedReplica> replicas = new TreeMap<>();
    private final SafetyObserver observer = new SafetyObserver();
    private final Set<String> cutLinks = new HashSet<>();
    private final List<TableEdit> sentEdits = new ArrayList<>();
    private final int size;
    private long now = START_MILLIS;
    private long sequence;
    private long steps;
    private int lastIdentity;
    private int lastEdit;
    private boolean faultsActive = true;

    /**
     * Prepares a schedule.
     *
     * @param seed decides everything that is random.
     * @param size the number of replicas.
     * @param rates how often each fault strikes.
     */
    public ReplicaSchedule(long seed, int size, FaultRates rates) {
        this(seed, size, rates, LEASE_MILLIS);
    }

    /**
     * Prepares a schedule.
     *
     * @param seed decides everything that happens.
     * @param size the number of replicas.
     * @param rates how often faults happen.
     * @param leaseMillis how long a leader reads under a lease, or 0 where a majority confirms each read.
     */
    public ReplicaSchedule(long seed, int size, FaultRates rates, long leaseMillis) {
        this.random = new Random(seed);
        this.rates = rates;
        this.size = size;
        Set<String> voters = new TreeSet<>();
        for (int index = 0; index < size; index++) {
            voters.add((char) ('a' + index) + "#0");
        }
        for (String voter : voters) {
            String node = voter.substring(0, 1);
            replicas.put(
                    node,
                    new SimulatedReplica(
                            this,
                            random,
                            node,
                            voter,
                            Configuration.ofVoters(voters),
                            SimulatedReplica.options(leaseMillis)));
        }
    }

    /**
     * Runs the schedule to its end.
     *
     * @param faultyMillis how long faults strike.
     * @return how much happened.
     */
    public Outcome run(long faultyMillis) {
        replicas.values().forEach(SimulatedReplica::start);
        schedule(this::tick, TICK_MILLIS);
        schedule(this::sendClientRequest, CLIENT_INTERVAL_MILLIS);
        schedule(this::injectFaults, FAULT_INTERVAL_MILLIS);
        runUntil(START_MILLIS + faultyMillis);
        endFaults();
        long before = observer.highestCommitIndex();
        runUntil(now + RECOVERY_MILLIS);
        checkRecovered(before);
        return new Outcome(
                steps, observer.highestCommitIndex(), observer.answers().size(), observer.grants());
    }

    private void runUntil(long until) {
        while (!events.isEmpty() && events.peek().dueAt() <= until) {
            Event event = events.remove();
            now = Math.max(now, event.dueAt());
            steps++;
            event.action().run();
        }
        now = until;
    }

    private void tick() {
        replicas.values().forEach(SimulatedReplica::tick);
        schedule(this::tick, TICK_MILLIS);
    }

    private void sendClientRequest() {
        schedule(this::sendClientRequest, CLIENT_INTERVAL_MILLIS);
        List<SimulatedReplica> running =
                replicas.values().stream().filter(SimulatedReplica::isRunning).toList();
        if (running.isEmpty()) {
            return;
        }
        SimulatedReplica asked = running.get(random.nextInt(running.size()));
        for (SimulatedReplica candidate : running) {
            if (candidate.replica().core().role() == Role.LEADER && random.nextInt(4) > 0) {
                asked = candidate;
            }
        }
        if (random.nextBoolean()) {
            sendEdit(asked);
        } else {
            sendClaim(asked);
        }
        asked.step();
    }

    private void sendEdit(SimulatedReplica asked) {
        boolean resend = !sentEdits.isEmpty() && random.nextInt(4) == 0;
        TableEdit edit = resend ? sentEdits.get(random.nextInt(sentEdits.size())) : newEdit(asked);
        if (!resend) {
            sentEdits.add(edit);
        }
        asked.replica()
                .propose(
                        new ControlCommand.ApplyEdit(edit, now),
                        end -> {
                            if (end instanceof Proposal.Committed committed
                                    && committed.answer() instanceof ControlAnswer.OfEdit answer) {
                                observer.recordEditAnswer(edit.changeId(), answer.answer());
                            }
                        },
                        asked.clock());
    }

    /** Makes an edit that expects what the asked replica knows, so that racing edits expect equal revisions. */
    private TableEdit newEdit(SimulatedReplica asked) {
        String pool = "pool-" + random.nextInt(POOLS);
        lastEdit++;
        PoolRow row = new PoolRow(pool, PoolKind.SERVICE, List.of(), lastEdit, 1, Map.of());
        var present = asked.replica().state().tables().tables().pools().get(pool);
        long revision = present == null ? 0 : present.revision();
        return new TableEdit("change-" + lastEdit, List.of(new RowChange.PutPool(row, revision)));
    }

    private void sendClaim(SimulatedReplica asked) {
        RequestKey key = new RequestKey("organisation", "key-" + random.nextInt(KEYS));
        ClaimHolder holder = new ClaimHolder("entry-" + random.nextInt(3), 1, random.nextInt(KEYS));
        ControlCommand command = new ControlCommand.Claim(key, "same", holder, now);
        asked.replica()
                .propose(
                        command,
                        end -> {
                            if (end instanceof Proposal.Committed committed
                                    && committed.answer() instanceof ControlAnswer.OfClaim answer
                                    && answer.answer() instanceof ClaimAnswer.Granted) {
                                observer.recordGrant(key.key(), holder);
                            }
                        },
                        asked.clock());
    }

    private void injectFaults() {
        if (!faultsActive) {
            return;
        }
        schedule(this::injectFaults, FAULT_INTERVAL_MILLIS);
        if (random.nextDouble() < rates.crash()) {
            crashOne();
        }
        if (random.nextDouble() < rates.freeze()) {
            SimulatedReplica frozen = randomReplica();
            frozen.freeze();
            schedule(frozen::thaw, 50 + random.nextInt(1_500));
        }
        if (random.nextDouble() < rates.partition()) {
            partitionOne();
        }
    }

    private void crashOne() {
        SimulatedReplica crashed = randomReplica();
        crashed.crash();
        // Only one disk may be lost at a time: a majority that loses its disks has nothing to recover from.
        if (random.nextDouble() < rates.diskLoss() && canLoseDisk(crashed)) {
            crashed.loseDisk(crashed.node() + "#" + ++lastIdentity);
        }
        schedule(crashed::start, 20 + random.nextInt(1_000));
    }

    /** Returns whether a majority of the voters would still have their disks, were one more to be lost. */
    private boolean canLoseDisk(SimulatedReplica losing) {
        Configuration latest = latestConfiguration();
        Set<String> present = new TreeSet<>();
        replicas.values().stream()
                .filter(replica -> replica != losing)
                .map(SimulatedReplica::identity)
                .forEach(present::add);
        long kept = latest.voters().stream().filter(present::contains).count();
        boolean settled = latest.learners().isEmpty()
                && latest.retiring().isEmpty()
                && latest.voters().size() == size;
        return settled && kept == size - 1;
    }

    private Configuration latestConfiguration() {
        Configuration latest = Configuration.ofVoters(Set.of());
        long commit = -1;
        for (SimulatedReplica replica : replicas.values()) {
            if (replica.replica() != null && replica.replica().core().commitIndex() > commit) {
                commit = replica.replica().core().commitIndex();
                latest = replica.replica().core().configuration();
            }
        }
        return latest;
    }

    private void partitionOne() {
        String from = randomReplica().node();
        boolean oneWay = random.nextBoolean();
        List<String> made = new ArrayList<>();
        for (String other : replicas.keySet()) {
            if (!other.equals(from) && random.nextInt(3) > 0) {
                made.add(from + other);
                if (!oneWay) {
                    made.add(other + from);
                }
            }
        }
        cutLinks.addAll(made);
        schedule(() -> cutLinks.removeAll(made), 100 + random.nextInt(2_500));
    }

    private void endFaults() {
        faultsActive = false;
        cutLinks.clear();
        replicas.values().forEach(replica -> {
            while (replica.replica() != null && !replica.isRunning()) {
                replica.thaw();
            }
            replica.start();
        });
        replaceBlankReplicasRepeatedly();
    }

    /** Does what an operator does after a disk was lost: asks the leader to let the blank replica take its place. */
    private void replaceBlankReplicasRepeatedly() {
        schedule(this::replaceBlankReplicasRepeatedly, FAULT_INTERVAL_MILLIS);
        for (SimulatedReplica leader : replicas.values()) {
            if (!leader.isRunning() || leader.replica().core().role() != Role.LEADER) {
                continue;
            }
            Configuration present = leader.replica().core().configuration();
            for (SimulatedReplica blank : replicas.values()) {
                String lost = present.voters().stream()
                        .filter(voter -> voter.startsWith(blank.node() + "#"))
                        .findFirst()
                        .orElse("");
                if (!present.contains(blank.identity())) {
                    leader.replica().replace(blank.identity(), lost);
                    leader.step();
                }
            }
        }
    }

    private void checkRecovered(long before) {
        if (observer.highestCommitIndex() <= before) {
            throw new Violation(Violation.Invariant.NO_PROGRESS, "nothing was committed after the faults had ended");
        }
        List<SimulatedReplica> running = List.copyOf(replicas.values());
        for (SimulatedReplica replica : running) {
            Map<String, EditAnswer> known = replica.replica().state().tables().rememberedAnswers();
            observer.answers().forEach((changeId, answer) -> {
                if (!answer.equals(known.get(changeId))
                        && replica.replica().core().role() == Role.LEADER) {
                    throw new Violation(Violation.Invariant.EDIT_LOST, changeId + " answered " + answer);
                }
            });
            for (SimulatedReplica other : running) {
                observer.checkLogMatching(
                        replica.replica().core(), other.replica().core());
            }
        }
        boolean whole = running.stream()
                .allMatch(replica -> latestConfiguration().voters().contains(replica.identity()));
        if (!whole) {
            throw new Violation(
                    Violation.Invariant.NO_PROGRESS,
                    "a lost replica was not replaced: " + latestConfiguration()
                            + running.stream()
                                    .map(r -> r.identity() + " "
                                            + r.replica().core().role() + " c"
                                            + r.replica().core().commitIndex() + " l"
                                            + r.replica().core().lastIndex())
                                    .toList());
        }
    }

    private SimulatedReplica randomReplica() {
        List<SimulatedReplica> all = List.copyOf(replicas.values());
        return all.get(random.nextInt(all.size()));
    }

    /** {@inheritDoc} */
    @Override
    public long now() {
        return now;
    }

    /** {@inheritDoc} */
    @Override
    public long writeDelay() {
        return random.nextInt(rates.maximumWriteMillis());
    }

    /** {@inheritDoc} */
    @Override
    public void schedule(Runnable action, long delay) {
        events.add(new Event(now + delay, sequence++, action));
    }

    /** {@inheritDoc} */
    @Override
    public void send(SimulatedReplica from, String to, RaftMessage message) {
        if (faultsActive && random.nextDouble() < rates.messageLoss()) {
            return;
        }
        int copies = faultsActive && random.nextDouble() < rates.messageDuplication() ? 2 : 1;
        String sender = from.identity();
        for (int copy = 0; copy < copies; copy++) {
            schedule(() -> deliver(from.node(), sender, to, message), random.nextInt(rates.maximumDelayMillis()));
        }
    }

    private void deliver(String fromNode, String sender, String to, RaftMessage message) {
        SimulatedReplica receiver = replicas.get(to.substring(0, 1));
        boolean cut = cutLinks.contains(fromNode + receiver.node());
        if (!cut && receiver.identity().equals(to)) {
            receiver.receive(sender, message);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void observe(SimulatedReplica replica) {
        observer.observe(replica, replicas.values());
    }

    /** {@inheritDoc} */
    @Override
    public void crashed(SimulatedReplica replica) {
        scheduleReplacementDuringFaults();
    }

    /** Lets operators repair in the middle of faults as well, so that a second loss may follow at once. */
    private void scheduleReplacementDuringFaults() {
        if (faultsActive) {
            schedule(this::replaceBlankReplicasOnce, 1 + random.nextInt(1_500));
        }
    }

    private void replaceBlankReplicasOnce() {
        for (SimulatedReplica leader : replicas.values()) {
            if (leader.isRunning() && leader.replica().core().role() == Role.LEADER) {
                ControlReplica control = leader.replica();
                Configuration present = control.core().configuration();
                for (SimulatedReplica blank : replicas.values()) {
                    if (!present.contains(blank.identity())) {
                        String lost = present.voters().stream()
                                .filter(voter -> voter.startsWith(blank.node() + "#"))
                                .findFirst()
                                .orElse("");
                        control.replace(blank.identity(), lost);
                    }
                }
                leader.step();
            }
        }
    }

    /**
     * Tells how much happened in a schedule.
     *
     * @param steps the number of events.
     * @param commits the number of committed entries.
     * @param edits the number of answered edits.
     * @param grants the number of claimed keys.
     */
    public record Outcome(long steps, long commits, int edits, int grants) {}

    /**
     * Holds an action that happens at a time.
     *
     * @param dueAt the time in milliseconds.
     * @param sequence decides between events of the same time.
     * @param action the action.
     */
    private record Event(long dueAt, long sequence, Runnable action) implements Comparable<Event> {
        /** {@inheritDoc} */
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(dueAt, other.dueAt);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }
}
