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
import org.radishspur.replication.control.ProposalOutcome;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.RaftMessage;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.ClaimAnswer;
import org.radishspur.replication.state.ClaimHolder;
import org.radishspur.replication.state.ControlAnswer;
import org.radishspur.replication.state.ControlCommand;

/**
 * Simulates replicas under one random schedule of faults, with clients that send conflicting requests and resend edits.
 * A phase without faults follows, in which the replicas must recover.
 */
public final class ReplicaSchedule implements SimulatedReplica.Environment {
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
     * Prepares a schedule whose leaders answer reads under a lease.
     *
     * @param seed the seed of all random decisions.
     * @param size the number of replicas.
     * @param rates how often each fault occurs.
     */
    public ReplicaSchedule(long seed, int size, FaultRates rates) {
        this(seed, size, rates, LEASE_MILLIS);
    }

    /**
     * Prepares a schedule.
     *
     * @param seed the seed of all random decisions.
     * @param size the number of replicas.
     * @param rates how often each fault occurs.
     * @param leaseMillis how long a leader answers reads under a lease, in milliseconds, or 0 if a majority confirms
     *     each read.
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
                            SimulatedReplica.optionsWithLease(leaseMillis)));
        }
    }

    /**
     * Runs the schedule to its end and checks the invariants throughout.
     *
     * @param faultyMillis how long faults occur, in milliseconds of virtual time.
     * @return counts of what happened.
     * @throws Violation if an invariant was violated.
     */
    public Outcome run(long faultyMillis) {
        replicas.values().forEach(SimulatedReplica::start);
        schedule(this::tick, TICK_MILLIS);
        schedule(this::sendClientRequest, CLIENT_INTERVAL_MILLIS);
        schedule(this::injectFaults, FAULT_INTERVAL_MILLIS);
        runUntil(START_MILLIS + faultyMillis);
        endFaults();
        long commitIndexBefore = observer.highestCommitIndex();
        runUntil(now + RECOVERY_MILLIS);
        checkRecovered(commitIndexBefore);
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
        SimulatedReplica target = running.get(random.nextInt(running.size()));
        for (SimulatedReplica candidate : running) {
            if (candidate.replica().core().role() == Role.LEADER && random.nextInt(4) > 0) {
                target = candidate;
            }
        }
        if (random.nextBoolean()) {
            sendEdit(target);
        } else {
            sendClaim(target);
        }
        target.flushAndObserve();
    }

    private void sendEdit(SimulatedReplica target) {
        boolean resend = !sentEdits.isEmpty() && random.nextInt(4) == 0;
        TableEdit edit = resend ? sentEdits.get(random.nextInt(sentEdits.size())) : newEdit(target);
        if (!resend) {
            sentEdits.add(edit);
        }
        target.replica()
                .propose(
                        new ControlCommand.ApplyEdit(edit, now),
                        end -> {
                            if (end instanceof ProposalOutcome.Committed committed
                                    && committed.answer() instanceof ControlAnswer.EditResult answer) {
                                observer.recordEditAnswer(edit.changeId(), answer.answer());
                            }
                        },
                        target.clock());
    }

    /**
     * Makes an edit that expects the revision known to the given replica, so that concurrent edits expect the same
     * revision.
     */
    private TableEdit newEdit(SimulatedReplica target) {
        String pool = "pool-" + random.nextInt(POOLS);
        lastEdit++;
        PoolRow row = new PoolRow(pool, PoolKind.SERVICE, List.of(), lastEdit, 1, Map.of());
        var present = target.replica().state().tables().tables().pools().get(pool);
        long revision = present == null ? 0 : present.revision();
        return new TableEdit("change-" + lastEdit, List.of(new RowChange.PutPool(row, revision)));
    }

    private void sendClaim(SimulatedReplica target) {
        RequestKey key = new RequestKey("organisation", "key-" + random.nextInt(KEYS));
        ClaimHolder holder = new ClaimHolder("entry-" + random.nextInt(3), 1, random.nextInt(KEYS));
        ControlCommand command = new ControlCommand.Claim(key, "same", holder, now);
        target.replica()
                .propose(
                        command,
                        end -> {
                            if (end instanceof ProposalOutcome.Committed committed
                                    && committed.answer() instanceof ControlAnswer.ClaimResult answer
                                    && answer.answer() instanceof ClaimAnswer.Granted) {
                                observer.recordGrant(key.key(), holder);
                            }
                        },
                        target.clock());
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
        // At most one disk is lost at a time: a majority that lost its disks would have nothing to recover from.
        if (random.nextDouble() < rates.diskLoss() && canLoseDisk(crashed)) {
            crashed.loseDisk(crashed.node() + "#" + ++lastIdentity);
        }
        schedule(crashed::start, 20 + random.nextInt(1_000));
    }

    /**
     * Returns whether a replica may lose its disk: every other voter still has its disk, and no membership change is
     * open.
     */
    private boolean canLoseDisk(SimulatedReplica crashed) {
        Configuration latest = latestConfiguration();
        Set<String> present = new TreeSet<>();
        replicas.values().stream()
                .filter(replica -> replica != crashed)
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
        List<String> newCuts = new ArrayList<>();
        for (String other : replicas.keySet()) {
            if (!other.equals(from) && random.nextInt(3) > 0) {
                newCuts.add(from + other);
                if (!oneWay) {
                    newCuts.add(other + from);
                }
            }
        }
        cutLinks.addAll(newCuts);
        schedule(() -> cutLinks.removeAll(newCuts), 100 + random.nextInt(2_500));
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

    /**
     * Replaces lost replicas, as an operator does: requests that the leader replaces the lost replica by the blank one.
     */
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
                    leader.flushAndObserve();
                }
            }
        }
    }

    private void checkRecovered(long commitIndexBefore) {
        if (observer.highestCommitIndex() <= commitIndexBefore) {
            throw new Violation(Violation.Invariant.NO_PROGRESS, "nothing was committed after the faults had ended");
        }
        List<SimulatedReplica> running = List.copyOf(replicas.values());
        for (SimulatedReplica replica : running) {
            Map<String, EditAnswer> known = replica.replica().state().tables().storedAnswers();
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
        boolean allVoters = running.stream()
                .allMatch(replica -> latestConfiguration().voters().contains(replica.identity()));
        if (!allVoters) {
            throw new Violation(
                    Violation.Invariant.NO_PROGRESS,
                    "a lost replica was not replaced: " + latestConfiguration()
                            + running.stream()
                                    .map(replica -> replica.identity() + " "
                                            + replica.replica().core().role() + " commit index "
                                            + replica.replica().core().commitIndex() + " last index "
                                            + replica.replica().core().lastIndex())
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
        boolean isCut = cutLinks.contains(fromNode + receiver.node());
        if (!isCut && receiver.identity().equals(to)) {
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
    public void onCrash(SimulatedReplica replica) {
        scheduleReplacementDuringFaults();
    }

    /** Replaces lost replicas while faults still occur, so that a further disk may be lost soon after. */
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
                leader.flushAndObserve();
            }
        }
    }

    /**
     * Counts what happened in a schedule.
     *
     * @param steps the number of events.
     * @param commits the index of the last committed entry.
     * @param edits the number of answered edits.
     * @param grants the number of keys whose claim was granted.
     */
    public record Outcome(long steps, long commits, int edits, int grants) {}

    /**
     * Holds an action that is due at a point of virtual time.
     *
     * @param dueAt the time in milliseconds.
     * @param sequence the order of events that are due at the same time.
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
