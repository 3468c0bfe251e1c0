package org.radishspur.replication.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.radishspur.replication.raft.LogEntry.Payload;

/**
 * Implements the Raft algorithm for one replica. The caller passes in messages, the time and the completion of writes,
 * and carries out the {@link Effects} that result.
 *
 * <p>This class is not thread-safe; only the control thread uses it.
 */
public final class RaftCore {
    private final RaftOptions options;
    private final String self;
    private final RaftLog log;
    private final Followers followers;
    private final Set<String> votes = new HashSet<>();
    private final ElectionTimer election;
    private final PendingEffects effects = new PendingEffects();
    private final LogSender sender;

    private HardState hardState;
    private boolean hardStateDurable = true;
    private Role role = Role.FOLLOWER;
    private String leader = "";
    private long commitIndex;
    private long appliedIndex;
    private long persistedIndex;

    /** The size of the entries that were handed over to the disk and aren't durable yet. */
    private long unwrittenBytes;

    /** When the latest message of a leader was accepted, in milliseconds of the monotonic clock. */
    private long leaderContactAt;

    private long heartbeatDueAt;

    /** The index of the first entry that this replica appended as the leader of its latest term. */
    private long firstIndexAsLeader;

    private boolean transferring;
    private boolean snapshotInProgress;

    /** The monotonic clock in milliseconds when this replica, as leader, last sent heartbeats or got a reply. */
    private long leaderClock;

    private SnapshotAssembly incomingSnapshot = new SnapshotAssembly(0, 0, 0);

    /**
     * Creates the core of a replica that has just started.
     *
     * @param options the timeouts and size limits.
     * @param self the identity of this replica, which belongs to its disk.
     * @param recovered the durable state of the replica.
     * @param random the source of randomness for election timeouts.
     * @param now the monotonic clock in milliseconds.
     */
    public RaftCore(RaftOptions options, String self, RecoveredState recovered, RandomGenerator random, long now) {
        this.options = options;
        this.self = self;
        this.followers = new Followers(options, self);
        this.election = new ElectionTimer(options, random);
        this.hardState = recovered.hardState();
        this.log = new RaftLog(recovered.snapshot(), recovered.entries());
        this.sender = new LogSender(options, log, effects);
        this.commitIndex = recovered.snapshot().lastIndex();
        this.appliedIndex = commitIndex;
        this.persistedIndex = log.lastIndex();
        // Prevents stale reads: before its restart this replica may have acknowledged a heartbeat, and the lease that
        // the leader derives from it may still be valid. Until it has expired, this replica must not vote for another
        // one.
        this.leaderContactAt = options.leaseMillis() > 0 ? now : now - options.electionTimeoutMillis();
        if (recovered.snapshot().lastIndex() > 0) {
            effects.install(recovered.snapshot());
        }
        election.schedule(now);
    }

    /**
     * Starts an election or sends heartbeats if they are due.
     *
     * @param now the monotonic clock in milliseconds.
     */
    public void tick(long now) {
        if (role == Role.LEADER) {
            tickLeader(now);
        } else if (election.isDue(now) && hardStateDurable) {
            if (log.configuration().voters().contains(self)) {
                campaign(true, false, now);
            } else {
                election.schedule(now);
            }
        }
    }

    /**
     * Processes a message from another replica.
     *
     * @param from the identity of the sender.
     * @param message the message.
     * @param now the monotonic clock in milliseconds.
     */
    public void receive(String from, RaftMessage message, long now) {
        if (message instanceof RaftMessage.VoteRequest request) {
            onVoteRequest(from, request, now);
            return;
        }
        boolean preVoteGranted = message instanceof RaftMessage.VoteReply reply && reply.preVote() && reply.granted();
        if (message.term() > hardState.term() && !preVoteGranted) {
            becomeFollower(message.term(), now);
        }
        if (message instanceof RaftMessage.VoteReply reply) {
            onVoteReply(from, reply, now);
        } else if (message instanceof RaftMessage.AppendRequest request) {
            onAppendRequest(from, request, now);
        } else if (message instanceof RaftMessage.AppendReply reply) {
            onAppendReply(from, reply, now);
        } else if (message instanceof RaftMessage.SnapshotRequest request) {
            onSnapshotRequest(from, request, now);
        } else if (message instanceof RaftMessage.SnapshotReply reply) {
            onSnapshotReply(from, reply, now);
        } else if (message instanceof RaftMessage.TimeoutNow timeoutNow) {
            onTimeoutNow(timeoutNow, now);
        }
    }

    /**
     * Appends a command to the log if this replica is the leader.
     *
     * @param bytes the encoded command.
     * @param now the monotonic clock in milliseconds.
     * @return the index of the entry, or empty where this replica isn't the leader or is transferring its leadership.
     */
    public OptionalLong propose(byte[] bytes, long now) {
        if (role != Role.LEADER || transferring) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(appendAsLeader(new Payload.Command(bytes)));
    }

    /**
     * Appends a change of the configuration if this replica is the leader and no other change is in progress.
     *
     * @param configuration the new configuration, which differs from the current one by at most one voter.
     * @return the index of the entry, or empty where the change is refused.
     */
    public OptionalLong proposeConfiguration(Configuration configuration) {
        // Refuses a change while another one is uncommitted, as their quorums might not overlap, and before the leader
        // has committed an entry of its own term, as it doesn't know before then which change is the latest.
        boolean changeAllowed = log.configurationIndex() <= commitIndex && commitIndex >= firstIndexAsLeader;
        if (role != Role.LEADER || transferring || !changeAllowed) {
            return OptionalLong.empty();
        }
        long index = appendAsLeader(new Payload.ConfigurationChange(configuration));
        configuration.voters().forEach(this::progressOf);
        configuration.learners().keySet().forEach(this::progressOf);
        return OptionalLong.of(index);
    }

    /**
     * Processes the completion of a write, which is now durable.
     *
     * @param batch the batch that was written.
     * @param startedAt the monotonic clock in milliseconds when the write was started.
     * @param now the monotonic clock in milliseconds.
     */
    public void onWritePersisted(WriteBatch batch, long startedAt, long now) {
        election.recordWrite(now - startedAt);
        unwrittenBytes -= sizeOf(batch);
        batch.hardState().filter(hardState::equals).ifPresent(durable -> onHardStateDurable(now));
        if (!batch.entries().isEmpty()) {
            LogEntry last = batch.entries().get(batch.entries().size() - 1);
            if (log.termAt(last.index()) == last.term()) {
                persistedIndex = Math.max(persistedIndex, last.index());
            }
        }
        batch.snapshot().ifPresent(snapshot -> persistedIndex = Math.max(persistedIndex, snapshot.lastIndex()));
        if (role == Role.LEADER) {
            advanceCommitIndex();
        }
    }

    /**
     * Returns a snapshot of the log up to an applied entry that does not contain the state yet. Until it is put into
     * effect, a follower accepts no entries that make its log too large.
     *
     * @param index the index of the last applied entry that the snapshot covers.
     * @return the snapshot with an empty state.
     */
    public Snapshot snapshotWithoutState(long index) {
        snapshotInProgress = true;
        return new Snapshot(index, log.termAt(index), log.configurationAt(index), new byte[0]);
    }

    /**
     * Puts a snapshot of this replica into effect and discards entries that it covers. Some entries before its end are
     * kept for followers that lag.
     *
     * @param newSnapshot the snapshot; it is ignored where it isn't newer than the current one or covers entries that
     *     aren't applied yet.
     */
    public void compact(Snapshot newSnapshot) {
        snapshotInProgress = false;
        if (newSnapshot.lastIndex() <= log.snapshot().lastIndex() || newSnapshot.lastIndex() > appliedIndex) {
            return;
        }
        long index = newSnapshot.lastIndex();
        long oldestNeededIndex = role == Role.LEADER
                ? followers.oldestNeededIndex(index, log.firstIndex(), leaderClock)
                : Long.MAX_VALUE;
        long firstWithinLimit = log.firstIndexWithin(index, options.limits().trailingBytes());
        long discardUpTo = Math.min(index - options.trailingEntries(), oldestNeededIndex);
        log.compact(newSnapshot, Math.max(discardUpTo, firstWithinLimit));
        effects.write(newSnapshot);
    }

    /**
     * Transfers the leadership to a voter that has the complete log, for example before a planned stop.
     *
     * @return whether the transfer was requested from a voter.
     */
    public boolean transferLeadership() {
        if (role != Role.LEADER) {
            return false;
        }
        Optional<String> target = log.configuration().voters().stream()
                .filter(voter -> !voter.equals(self) && progressOf(voter).matchIndex == log.lastIndex())
                .findFirst();
        // The lease ends now, because the election that follows does not wait for it to expire.
        target.ifPresent(voter -> {
            transferring = true;
            effects.send(voter, new RaftMessage.TimeoutNow(hardState.term()));
        });
        return target.isPresent();
    }

    /**
     * Returns the effects of all calls since the previous call of this method, and clears them.
     *
     * @return the effects, which the caller must carry out.
     */
    public Effects takeEffects() {
        if (role == Role.LEADER) {
            replicate();
        }
        List<LogEntry> committed = new ArrayList<>();
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            if (appliedIndex >= log.firstIndex()) {
                committed.add(log.get(appliedIndex));
            }
        }
        Effects taken = effects.take(committed);
        unwrittenBytes += sizeOf(taken.write());
        return taken;
    }

    private static long sizeOf(WriteBatch batch) {
        return batch.entries().stream().mapToLong(LogEntry::size).sum();
    }

    /**
     * Returns whether this replica may serve a read from its own state. It may if it is the leader, has applied an
     * entry of its own term, and a majority has replied to it so recently that no other leader can have been elected.
     *
     * @param now the monotonic clock in milliseconds.
     * @return whether a read is linearizable now.
     */
    public boolean mayServeLeaseRead(long now) {
        return role == Role.LEADER && !transferring && appliedIndex >= firstIndexAsLeader && now < leaseEnd();
    }

    /**
     * Returns whether a majority has confirmed after the given time that this replica is the leader. If so, its applied
     * state includes everything that was committed before that time.
     *
     * <p>Unlike a lease, this also holds for a leader whose process or host was suspended: the monotonic clock stops
     * during the suspension, so that the lease appears valid while another leader commits entries. A confirmation is a
     * reply to a message sent strictly after the given time; a replica that follows another leader by then does not
     * send one.
     *
     * @param since the monotonic clock in milliseconds when the read began.
     * @return whether the read may be served.
     */
    public boolean leadershipConfirmedSince(long since) {
        return role == Role.LEADER
                && !transferring
                && appliedIndex >= firstIndexAsLeader
                && appliedIndex >= commitIndex
                && quorumAcknowledgedSendTime() > since;
    }

    /**
     * Returns the role of this replica.
     *
     * @return the role.
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the current term.
     *
     * @return the term.
     */
    public long term() {
        return hardState.term();
    }

    /**
     * Returns the identity of the leader.
     *
     * @return the identity, or an empty string where no leader is known.
     */
    public String leader() {
        return leader;
    }

    /**
     * Returns the identity of this replica.
     *
     * @return the identity.
     */
    public String self() {
        return self;
    }

    /**
     * Returns the latest configuration in the log, whether it is committed or not.
     *
     * @return the configuration.
     */
    public Configuration configuration() {
        return log.configuration();
    }

    /**
     * Returns the highest index known to be committed.
     *
     * @return the index.
     */
    public long commitIndex() {
        return commitIndex;
    }

    /**
     * Returns the index of the last entry of the log.
     *
     * @return the index.
     */
    public long lastIndex() {
        return log.lastIndex();
    }

    /**
     * Returns the index of the first entry that is still in the log.
     *
     * @return the index.
     */
    public long firstIndex() {
        return log.firstIndex();
    }

    /**
     * Returns the size of what this replica keeps of the log in memory: the entries that aren't discarded, or those that wait
     * for the disk if they are more.
     *
     * @return the size in bytes.
     */
    public long bytesInMemory() {
        return Math.max(log.bytes(), unwrittenBytes);
    }

    /**
     * Returns an entry that is still in the log.
     *
     * @param index the index of the entry.
     * @return the entry.
     */
    public LogEntry entry(long index) {
        return log.get(index);
    }

    /**
     * Returns whether a learner has every committed entry on its disk.
     *
     * @param learner the identity of the learner.
     * @return whether it has, and can therefore be promoted without weakening the quorum.
     */
    public boolean isCaughtUp(String learner) {
        return role == Role.LEADER
                && progressOf(learner).matchIndex >= commitIndex
                && commitIndex >= firstIndexAsLeader;
    }

    private void tickLeader(long now) {
        if (!log.configuration().voters().contains(self) && log.configurationIndex() <= commitIndex) {
            becomeFollower(hardState.term(), now);
            return;
        }
        // Check-quorum: a leader that is cut off from the majority steps down, so that requests don't wait for it.
        if (now - quorumAcknowledgedSendTime() > 2 * options.electionTimeoutMillis()) {
            becomeFollower(hardState.term(), now);
            return;
        }
        if (now >= heartbeatDueAt) {
            broadcast(now);
        }
    }

    private void broadcast(long now) {
        heartbeatDueAt = now + options.heartbeatMillis();
        leaderClock = now;
        for (String peer : peers()) {
            sender.sendDue(peer, progressOf(peer), leadership());
        }
    }

    private LogSender.Leadership leadership() {
        return new LogSender.Leadership(hardState.term(), commitIndex, leaderClock);
    }

    private void replicate() {
        for (String peer : peers()) {
            sender.sendEntries(peer, progressOf(peer), leadership());
        }
    }

    private Set<String> peers() {
        Set<String> peers = new TreeSet<>(log.configuration().voters());
        peers.addAll(log.configuration().learners().keySet());
        peers.remove(self);
        return peers;
    }

    private void campaign(boolean preVote, boolean transfer, long now) {
        votes.clear();
        votes.add(self);
        leader = "";
        election.scheduleAfterVoteWrites(now);
        if (preVote) {
            role = Role.PRE_CANDIDATE;
        } else {
            role = Role.CANDIDATE;
            setHardState(new HardState(hardState.term() + 1, self));
        }
        if (votes.size() >= log.configuration().quorum()) {
            onVotesWon(preVote, now);
            return;
        }
        long term = preVote ? hardState.term() + 1 : hardState.term();
        RaftMessage request = new RaftMessage.VoteRequest(term, preVote, transfer, log.lastIndex(), log.lastTerm());
        for (String voter : log.configuration().voters()) {
            if (!voter.equals(self)) {
                effects.sendAfterWrite(voter, request);
            }
        }
    }

    private void onVotesWon(boolean preVote, long now) {
        if (preVote) {
            campaign(false, false, now);
        } else {
            becomeLeader(now);
        }
    }

    private void onVoteRequest(String from, RaftMessage.VoteRequest request, long now) {
        boolean leaseMayBeValid = now - leaderContactAt < options.electionTimeoutMillis() || role == Role.LEADER;
        if (leaseMayBeValid && !request.transfer()) {
            // The leader's lease relies on this replica not voting. The replica doesn't adopt the term of the request
            // either, so that a replica whose connection was restored can't depose a healthy leader.
            if (request.term() <= hardState.term() || request.preVote()) {
                effects.sendAfterWrite(from, new RaftMessage.VoteReply(hardState.term(), request.preVote(), false));
            }
            return;
        }
        if (!request.preVote() && request.term() > hardState.term()) {
            becomeFollower(request.term(), now);
        }
        boolean upToDate = request.lastTerm() > log.lastTerm()
                || request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex();
        boolean voteAvailable = request.preVote()
                ? request.term() > hardState.term()
                : request.term() == hardState.term()
                        && (hardState.votedFor().isEmpty()
                                || hardState.votedFor().equals(from));
        boolean granted = upToDate && voteAvailable;
        if (granted && request.preVote() && role == Role.PRE_CANDIDATE && from.compareTo(self) < 0) {
            // Avoids split votes when all replicas restart at the same time: all of them would request pre-votes at
            // once, grant them to each other and then vote for themselves. Only the one with the lowest identity
            // proceeds. If it fails, the others request pre-votes again after their next timeout.
            role = Role.FOLLOWER;
            election.scheduleAfterVoteWrites(now);
        }
        if (granted && !request.preVote()) {
            setHardState(new HardState(hardState.term(), from));
            election.schedule(now);
        }
        long term = granted ? request.term() : hardState.term();
        effects.sendAfterWrite(from, new RaftMessage.VoteReply(term, request.preVote(), granted));
    }

    private void onVoteReply(String from, RaftMessage.VoteReply reply, long now) {
        Role expected = reply.preVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        long term = reply.preVote() ? hardState.term() + 1 : hardState.term();
        boolean fromVoter = log.configuration().voters().contains(from);
        if (role == expected && reply.granted() && reply.term() == term && fromVoter) {
            votes.add(from);
            long voteCount = votes.stream()
                    .filter(voter -> log.configuration().voters().contains(voter))
                    .count();
            if (voteCount >= log.configuration().quorum()) {
                onVotesWon(reply.preVote(), now);
            }
        }
    }

    private void becomeLeader(long now) {
        role = Role.LEADER;
        election.recordLeader();
        leader = self;
        transferring = false;
        followers.clear();
        leaderClock = now;
        firstIndexAsLeader = appendAsLeader(new Payload.Empty());
        peers().forEach(peer -> followers.progressOf(peer, firstIndexAsLeader, leaderClock));
        broadcast(now);
    }

    private void becomeFollower(long term, long now) {
        if (term > hardState.term()) {
            setHardState(new HardState(term, ""));
        }
        role = Role.FOLLOWER;
        leader = "";
        transferring = false;
        election.schedule(now);
    }

    private void onAppendRequest(String from, RaftMessage.AppendRequest request, long now) {
        if (!acceptLeader(from, request.term(), now)) {
            replyAfterWrite(from, false, log.lastIndex(), request.sentAt());
            return;
        }
        if (request.previousIndex() > log.lastIndex()) {
            replyAfterWrite(from, false, log.lastIndex() + 1, request.sentAt());
            return;
        }
        boolean comparable = request.previousIndex() >= log.firstIndex() - 1;
        if (comparable && log.termAt(request.previousIndex()) != request.previousTerm()) {
            replyAfterWrite(from, false, firstIndexOfTerm(request.previousIndex()), request.sentAt());
            return;
        }
        long matched = request.previousIndex();
        for (LogEntry entry : request.entries()) {
            if (!acceptEntry(entry)) {
                break;
            }
            matched = entry.index();
        }
        commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), matched));
        if (hardStateDurable) {
            // Replies without waiting for the write, so that a leader doesn't step down while disks are slow. Only
            // entries that are already on the disk are acknowledged.
            effects.send(from, appendReply(true, Math.min(matched, persistedIndex), request.sentAt()));
        }
        if (!hardStateDurable || persistedIndex < matched) {
            replyAfterWrite(from, true, matched, request.sentAt());
        }
    }

    private boolean acceptLeader(String from, long term, long now) {
        if (term < hardState.term()) {
            return false;
        }
        role = Role.FOLLOWER;
        leader = from;
        election.recordLeader();
        leaderContactAt = now;
        election.schedule(now);
        return true;
    }

    /** Appends an entry of the leader unless the log contains it; returns whether the log contains it then. */
    private boolean acceptEntry(LogEntry entry) {
        if (entry.index() < log.firstIndex()) {
            return true;
        }
        if (entry.index() <= log.lastIndex()) {
            if (log.termAt(entry.index()) == entry.term()) {
                return true;
            }
            if (entry.index() <= commitIndex) {
                throw new IllegalStateException("leader sent another entry for the committed index " + entry.index());
            }
            log.truncateFrom(entry.index());
            effects.discardEntriesFrom(entry.index());
            persistedIndex = Math.min(persistedIndex, entry.index() - 1);
        }
        // While a snapshot is made, the log can't be compacted; the leader sends the entry again.
        if (snapshotInProgress && log.bytes() + entry.size() > options.limits().totalBytes()) {
            return false;
        }
        log.append(entry);
        effects.write(entry);
        return true;
    }

    private long firstIndexOfTerm(long index) {
        long first = index;
        while (first > log.firstIndex() && first > commitIndex + 1 && log.termAt(first - 1) == log.termAt(index)) {
            first--;
        }
        return first;
    }

    private void replyAfterWrite(String to, boolean matched, long index, long sentAt) {
        effects.sendAfterWrite(to, appendReply(matched, index, sentAt));
    }

    private RaftMessage appendReply(boolean matched, long index, long sentAt) {
        return new RaftMessage.AppendReply(hardState.term(), matched, index, sentAt);
    }

    private void onAppendReply(String from, RaftMessage.AppendReply reply, long now) {
        if (role != Role.LEADER || reply.term() != hardState.term()) {
            return;
        }
        leaderClock = now;
        Progress state = progressOf(from);
        state.acknowledgedSendTime = Math.max(state.acknowledgedSendTime, reply.sentAt());
        if (reply.matched()) {
            state.matchIndex = Math.max(state.matchIndex, reply.index());
            state.nextIndex = Math.max(state.nextIndex, state.matchIndex + 1);
            state.unacknowledgedSince = state.nextIndex > state.matchIndex + 1 ? now : 0;
            advanceCommitIndex();
        } else {
            state.nextIndex = Math.max(state.matchIndex + 1, Math.min(reply.index(), log.lastIndex() + 1));
            state.unacknowledgedSince = 0;
        }
    }

    private void onSnapshotRequest(String from, RaftMessage.SnapshotRequest request, long now) {
        if (!acceptLeader(from, request.term(), now)) {
            replyToSnapshotAfterWrite(from, request, 0, false);
            return;
        }
        if (request.lastIndex() <= commitIndex) {
            replyToSnapshotAfterWrite(from, request, 0, true);
            return;
        }
        if (!incomingSnapshot.matches(request)) {
            incomingSnapshot = new SnapshotAssembly(request.term(), request.lastIndex(), request.lastTerm());
        }
        boolean complete = incomingSnapshot.add(request);
        if (complete) {
            install(new Snapshot(
                    request.lastIndex(), request.lastTerm(), request.configuration(), incomingSnapshot.bytes()));
            incomingSnapshot = new SnapshotAssembly(0, 0, 0);
        }
        replyToSnapshotAfterWrite(from, request, incomingSnapshot.size(), complete);
    }

    private void install(Snapshot snapshot) {
        log.install(snapshot);
        effects.discardEntriesUpTo(snapshot.lastIndex());
        effects.discardEntriesFrom(log.lastIndex() + 1);
        // Until the snapshot is written, entries on the disk after the committed ones may differ from it.
        persistedIndex = Math.min(persistedIndex, commitIndex);
        commitIndex = snapshot.lastIndex();
        appliedIndex = snapshot.lastIndex();
        effects.write(snapshot);
        effects.install(snapshot);
    }

    private void replyToSnapshotAfterWrite(
            String to, RaftMessage.SnapshotRequest request, long offset, boolean complete) {
        effects.sendAfterWrite(
                to,
                new RaftMessage.SnapshotReply(
                        hardState.term(), request.lastIndex(), offset, complete, request.sentAt()));
    }

    private void onSnapshotReply(String from, RaftMessage.SnapshotReply reply, long now) {
        if (role != Role.LEADER || reply.term() != hardState.term()) {
            return;
        }
        leaderClock = now;
        Progress state = progressOf(from);
        state.acknowledgedSendTime = Math.max(state.acknowledgedSendTime, reply.sentAt());
        if (reply.installed()) {
            state.matchIndex = Math.max(state.matchIndex, reply.lastIndex());
            state.nextIndex = Math.max(state.nextIndex, state.matchIndex + 1);
            state.snapshotInTransfer = Optional.empty();
            state.unacknowledgedSince = 0;
            advanceCommitIndex();
        } else if (state.snapshotInTransfer.isPresent()
                && state.snapshotInTransfer.get().lastIndex() == reply.lastIndex()) {
            state.snapshotOffset = reply.nextOffset();
            state.unacknowledgedSince = 0;
        }
    }

    private void onTimeoutNow(RaftMessage.TimeoutNow timeoutNow, long now) {
        if (timeoutNow.term() == hardState.term()
                && log.configuration().voters().contains(self)) {
            campaign(false, true, now);
        }
    }

    private void advanceCommitIndex() {
        long candidate = followers.quorumMatchIndex(log.configuration(), persistedIndex);
        // Entries of earlier terms are never committed by counting replicas (section 5.4.2 of the Raft paper).
        if (candidate > commitIndex && log.termAt(candidate) == hardState.term()) {
            commitIndex = candidate;
        }
    }

    private long quorumAcknowledgedSendTime() {
        return followers.quorumAcknowledgedSendTime(log.configuration());
    }

    private long leaseEnd() {
        long acknowledgedSendTime = quorumAcknowledgedSendTime();
        return acknowledgedSendTime == Long.MAX_VALUE ? Long.MAX_VALUE : acknowledgedSendTime + options.leaseMillis();
    }

    private long appendAsLeader(Payload payload) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, hardState.term(), payload);
        log.append(entry);
        effects.write(entry);
        return entry.index();
    }

    private Progress progressOf(String replica) {
        return followers.progressOf(replica, log.lastIndex() + 1, leaderClock);
    }

    private void setHardState(HardState changed) {
        hardState = changed;
        effects.write(changed);
        hardStateDurable = false;
    }

    /**
     * Restarts the election timeout once a vote or a new term is durable, as the messages that depend on it are only
     * sent then.
     *
     * <p>Otherwise replicas with slow disks could never elect a leader: each would start the next election before the
     * votes of the previous one were written.
     */
    private void onHardStateDurable(long now) {
        hardStateDurable = true;
        if (role == Role.CANDIDATE) {
            election.scheduleAfterVoteWrites(now);
        } else if (role != Role.LEADER) {
            election.schedule(now);
        }
    }
}
