package org.radishspur.testkit.schedule;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.radishspur.model.table.EditAnswer;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.RaftCore;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.ClaimHolder;

/**
 * Checks the invariants of the replicas after every step.
 */
final class SafetyObserver {
    private final Map<Long, String> leaderByTerm = new HashMap<>();
    private final Map<Long, LogEntry> committedEntries = new HashMap<>();
    private final Map<String, EditAnswer> answers = new HashMap<>();
    private final Map<String, ClaimHolder> grantedHolders = new HashMap<>();
    private final Map<String, Long> checkedCommitIndexes = new HashMap<>();
    private final Set<String> checkedLeaders = new HashSet<>();
    private final Map<String, PendingRead> pendingReads = new HashMap<>();
    private long acknowledgedRevision;
    private long highestCommitIndex;

    void observe(SimulatedReplica simulated, Collection<SimulatedReplica> all) {
        RaftCore core = simulated.replica().core();
        checkCommitted(simulated, core);
        if (core.role() == Role.LEADER) {
            checkLeader(core);
        }
        checkConfirmedRead(simulated, core);
        if (core.mayServeLeaseRead(simulated.clock())) {
            long revision = simulated.replica().state().tables().tables().revision();
            if (revision < acknowledgedRevision) {
                throw new Violation(
                        Violation.Invariant.STALE_READ,
                        core.self() + " reads revision " + revision + " after acknowledged revision "
                                + acknowledgedRevision);
            }
        }
    }

    /**
     * Begins a read on each leader that has none pending, and checks its revision once a majority has confirmed the
     * leader.
     */
    private void checkConfirmedRead(SimulatedReplica simulated, RaftCore core) {
        if (core.role() != Role.LEADER) {
            pendingReads.remove(core.self());
            return;
        }
        PendingRead read = pendingReads.computeIfAbsent(
                core.self(), self -> new PendingRead(simulated.clock(), acknowledgedRevision));
        if (core.leadershipConfirmedSince(read.begunAt())) {
            pendingReads.remove(core.self());
            long revision = simulated.replica().state().tables().tables().revision();
            if (revision < read.acknowledgedRevision()) {
                throw new Violation(
                        Violation.Invariant.STALE_READ,
                        core.self() + " answers a confirmed read with revision " + revision
                                + " after acknowledged revision " + read.acknowledgedRevision());
            }
        }
    }

    private void checkCommitted(SimulatedReplica simulated, RaftCore core) {
        String self = core.self();
        long from = Math.max(core.firstIndex(), checkedCommitIndexes.getOrDefault(self, 0L) + 1);
        for (long index = from; index <= core.commitIndex(); index++) {
            LogEntry entry = core.entry(index);
            LogEntry earlier = committedEntries.putIfAbsent(index, entry);
            if (earlier != null && !sameEntry(earlier, entry)) {
                throw new Violation(
                        Violation.Invariant.STATE_MACHINE_SAFETY, core.self() + " differs at index " + index);
            }
        }
        checkedCommitIndexes.merge(self, core.commitIndex(), Math::max);
        highestCommitIndex = Math.max(highestCommitIndex, core.commitIndex());
    }

    private void checkLeader(RaftCore core) {
        String earlier = leaderByTerm.putIfAbsent(core.term(), core.self());
        if (earlier != null && !earlier.equals(core.self())) {
            throw new Violation(
                    Violation.Invariant.ELECTION_SAFETY,
                    earlier + " and " + core.self() + " lead in term " + core.term());
        }
        if (checkedLeaders.add(core.self() + '/' + core.term())) {
            // A new leader commits entries of its own term only later, so all entries committed so far are older.
            for (long index = core.firstIndex(); index <= highestCommitIndex; index++) {
                LogEntry entry = committedEntries.get(index);
                if (entry != null
                        && entry.term() < core.term()
                        && (index > core.lastIndex() || !sameEntry(core.entry(index), entry))) {
                    throw new Violation(
                            Violation.Invariant.LEADER_COMPLETENESS,
                            core.self() + " leads in term " + core.term() + " without index " + index);
                }
            }
        }
    }

    /** Compares the logs of two replicas where they overlap, from the end backwards. */
    void checkLogMatching(RaftCore left, RaftCore right) {
        boolean matched = false;
        long last = Math.min(left.lastIndex(), right.lastIndex());
        for (long index = last; index >= Math.max(left.firstIndex(), right.firstIndex()); index--) {
            boolean sameTerm = left.entry(index).term() == right.entry(index).term();
            if (matched && !sameTerm || sameTerm && !sameEntry(left.entry(index), right.entry(index))) {
                throw new Violation(
                        Violation.Invariant.LOG_MATCHING,
                        left.self() + " and " + right.self() + " differ at index " + index);
            }
            matched |= sameTerm;
        }
    }

    void recordEditAnswer(String changeId, EditAnswer answer) {
        EditAnswer earlier = answers.putIfAbsent(changeId, answer);
        if (earlier != null && !earlier.equals(answer)) {
            throw new Violation(Violation.Invariant.ANSWER_CHANGED, changeId + ": " + earlier + " then " + answer);
        }
        if (answer instanceof EditAnswer.Accepted accepted) {
            acknowledgedRevision = Math.max(acknowledgedRevision, accepted.revision());
        }
    }

    void recordGrant(String key, ClaimHolder holder) {
        ClaimHolder earlier = grantedHolders.putIfAbsent(key, holder);
        if (earlier != null && !earlier.equals(holder)) {
            throw new Violation(Violation.Invariant.CLAIM_GRANTED_TWICE, key + ": " + earlier + " and " + holder);
        }
    }

    /** Records that the holder of a key has released it, so that it may be granted again. */
    void recordRelease(String key, ClaimHolder holder) {
        grantedHolders.remove(key, holder);
    }

    Map<String, EditAnswer> answers() {
        return answers;
    }

    int grants() {
        return grantedHolders.size();
    }

    long highestCommitIndex() {
        return highestCommitIndex;
    }

    private static boolean sameEntry(LogEntry left, LogEntry right) {
        if (left.index() != right.index() || left.term() != right.term()) {
            return false;
        }
        if (left.payload() instanceof LogEntry.Payload.Command first
                && right.payload() instanceof LogEntry.Payload.Command second) {
            return Arrays.equals(first.bytes(), second.bytes());
        }
        return left.payload().equals(right.payload());
    }

    /**
     * Holds a read that a majority has yet to confirm.
     *
     * @param begunAt the clock of the leader when the read began, in milliseconds.
     * @param acknowledgedRevision the highest revision acknowledged by then.
     */
    private record PendingRead(long begunAt, long acknowledgedRevision) {}
}
