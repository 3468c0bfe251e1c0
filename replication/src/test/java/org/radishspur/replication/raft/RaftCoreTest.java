package org.radishspur.replication.raft;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.replication.raft.LogEntry.Payload;

import static org.assertj.core.api.Assertions.assertThat;

class RaftCoreTest {
    private static final RaftOptions OPTIONS = new RaftOptions(50, 300, 220, 16, 1_000, 10);
    private static final Configuration THREE_VOTERS = Configuration.ofVoters(Set.of("a", "b", "c"));
    private static final long START = 10_000;

    /** A time when an election is due and leases from before the start have expired, in milliseconds. */
    private static final long LATER = START + 700;

    private static RaftCore core(HardState hardState, List<LogEntry> entries) {
        return new RaftCore(
                OPTIONS,
                "a",
                new RecoveredState(hardState, Snapshot.initial(THREE_VOTERS), entries),
                new Random(1),
                START);
    }

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, new Payload.Command(new byte[] {(byte) index}));
    }

    /** Returns a core that was elected leader of the next term with the votes of "a" and "b". */
    private static RaftCore electedLeader(HardState hardState, List<LogEntry> entries) {
        RaftCore core = core(hardState, entries);
        core.tick(LATER);
        core.takeEffects();
        core.receive("b", new RaftMessage.VoteReply(hardState.term() + 1, true, true), LATER);
        core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
        core.receive("b", new RaftMessage.VoteReply(hardState.term() + 1, false, true), LATER);
        assertThat(core.role()).isEqualTo(Role.LEADER);
        return core;
    }

    private static RaftMessage.AppendReply acknowledgement(RaftCore core, long index, long sentAt) {
        return new RaftMessage.AppendReply(core.term(), true, index, sentAt);
    }

    @Nested
    class Voting {
        private final RaftMessage request = new RaftMessage.VoteRequest(6, false, false, 0, 0);

        /** Guards against a second vote in the same term after a restart, which can lose an accepted edit. */
        @Test
        void aVoteIsWrittenBeforeItIsSent() {
            RaftCore core = core(new HardState(5, ""), List.of());
            core.receive("b", request, LATER);
            Effects effects = core.takeEffects();
            assertThat(effects.write().hardState()).isEqualTo(Optional.of(new HardState(6, "b")));
            assertThat(effects.immediate()).isEmpty();
            assertThat(effects.afterWrite())
                    .containsExactly(new Effects.OutboundMessage("b", new RaftMessage.VoteReply(6, false, true)));
        }

        @Test
        void aSecondCandidateOfTheSameTermIsRefused() {
            RaftCore core = core(new HardState(6, "c"), List.of());
            core.receive("b", request, LATER);
            assertThat(core.takeEffects().afterWrite())
                    .containsExactly(new Effects.OutboundMessage("b", new RaftMessage.VoteReply(6, false, false)));
        }

        /** Guards against stale reads from a leader that is cut off but whose lease is still valid. */
        @Test
        void aReplicaThatHasJustRestartedGrantsNoVote() {
            RaftCore core = core(new HardState(5, ""), List.of());
            core.receive("b", request, START + OPTIONS.leaseMillis());
            assertThat(core.takeEffects().write().hardState()).isEmpty();
            assertThat(core.term()).isEqualTo(5);
        }

        @Test
        void aFollowerOfALiveLeaderGrantsNoVote() {
            RaftCore core = core(new HardState(5, ""), List.of());
            core.receive("c", new RaftMessage.AppendRequest(5, 0, 0, List.of(), 0, 1), LATER);
            core.takeEffects();
            core.receive("b", request, LATER + OPTIONS.leaseMillis());
            assertThat(core.term()).isEqualTo(5);
        }

        @Test
        void aCandidateWithAnOlderLogIsRefused() {
            RaftCore core = core(new HardState(5, ""), List.of(entry(1, 5)));
            core.receive("b", request, LATER);
            assertThat(core.takeEffects().afterWrite())
                    .containsExactly(new Effects.OutboundMessage("b", new RaftMessage.VoteReply(6, false, false)));
        }
    }

    @Nested
    class Acknowledging {
        private final RaftCore follower = core(new HardState(5, ""), List.of(entry(1, 4), entry(2, 4), entry(3, 4)));

        private List<RaftMessage> immediateRepliesToHeartbeat(long previousIndex, long previousTerm) {
            follower.receive(
                    "b", new RaftMessage.AppendRequest(5, previousIndex, previousTerm, List.of(), 0, LATER), LATER);
            return follower.takeEffects().immediate().stream()
                    .map(Effects.OutboundMessage::message)
                    .toList();
        }

        @Test
        void aHeartbeatIsAnsweredWithoutWaitingForTheDisk() {
            assertThat(immediateRepliesToHeartbeat(3, 4))
                    .containsExactly(new RaftMessage.AppendReply(5, true, 3, LATER));
        }

        /** Guards against the loss of an accepted edit that a follower acknowledged before it was durable. */
        @Test
        void anEntryThatIsStillBeingWrittenIsNotAcknowledged() {
            follower.receive("b", new RaftMessage.AppendRequest(5, 3, 4, List.of(entry(4, 5)), 0, LATER), LATER);
            WriteBatch batch = follower.takeEffects().write();
            assertThat(immediateRepliesToHeartbeat(4, 5))
                    .containsExactly(new RaftMessage.AppendReply(5, true, 3, LATER));
            follower.onWritePersisted(batch, LATER, LATER);
            assertThat(immediateRepliesToHeartbeat(4, 5))
                    .containsExactly(new RaftMessage.AppendReply(5, true, 4, LATER));
        }

        /** Guards against a replica that acknowledges a new leader and has lost its term after a restart. */
        @Test
        void aHeartbeatOfANewTermIsNotAcknowledgedBeforeTheTermIsOnDisk() {
            follower.receive("b", new RaftMessage.AppendRequest(6, 3, 4, List.of(), 0, LATER), LATER);
            Effects effects = follower.takeEffects();
            assertThat(effects.immediate()).isEmpty();
            assertThat(effects.afterWrite())
                    .containsExactly(new Effects.OutboundMessage("b", new RaftMessage.AppendReply(6, true, 3, LATER)));
        }

        /** Guards against a learner that is promoted before the snapshot that it received is durable. */
        @Test
        void aSnapshotThatIsNotWrittenIsNotAcknowledged() {
            follower.receive(
                    "b", new RaftMessage.SnapshotRequest(5, 2, 5, THREE_VOTERS, 0, new byte[1], true, LATER), LATER);
            WriteBatch batch = follower.takeEffects().write();
            assertThat(immediateRepliesToHeartbeat(2, 5))
                    .containsExactly(new RaftMessage.AppendReply(5, true, 0, LATER));
            follower.onWritePersisted(batch, LATER, LATER);
            assertThat(immediateRepliesToHeartbeat(2, 5))
                    .containsExactly(new RaftMessage.AppendReply(5, true, 2, LATER));
        }
    }

    @Nested
    class Committing {
        /** Guards against the replacement of a committed entry after a change of leaders. */
        @Test
        void anEntryOfAnEarlierTermIsNotCommittedByCounting() {
            RaftCore core = electedLeader(new HardState(2, ""), List.of(entry(1, 2)));
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 1, LATER), LATER);
            assertThat(core.commitIndex()).isZero();
            core.receive("b", acknowledgement(core, 2, LATER), LATER);
            assertThat(core.commitIndex()).isEqualTo(2);
        }

        @Test
        void aLeaderDoesNotCountItselfBeforeItsOwnDiskHasTheEntry() {
            RaftCore core = electedLeader(HardState.INITIAL, List.of());
            WriteBatch batch = core.takeEffects().write();
            core.receive("b", acknowledgement(core, 1, LATER), LATER);
            assertThat(core.commitIndex()).isZero();
            core.onWritePersisted(batch, LATER, LATER);
            assertThat(core.commitIndex()).isEqualTo(1);
        }
    }

    @Nested
    class Reading {
        @Test
        void aLeaderWithoutRepliesStopsReadingBeforeAnotherCanBeElected() {
            RaftCore core = electedLeader(HardState.INITIAL, List.of());
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 1, LATER), LATER);
            core.takeEffects();
            assertThat(core.mayServeLeaseRead(LATER + 1)).isTrue();
            assertThat(core.mayServeLeaseRead(LATER + OPTIONS.leaseMillis())).isFalse();
            assertThat(OPTIONS.leaseMillis()).isLessThan(OPTIONS.electionTimeoutMillis());
        }

        @Test
        void aLeaderThatTransfersLeadershipServesNoReads() {
            RaftCore core = electedLeader(HardState.INITIAL, List.of());
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 1, LATER), LATER);
            core.takeEffects();
            assertThat(core.transferLeadership()).isTrue();
            assertThat(core.mayServeLeaseRead(LATER + 1)).isFalse();
            assertThat(core.propose(new byte[0], LATER + 1)).isEmpty();
        }
    }

    @Nested
    class ChangingReplicas {
        private final Configuration withReplacement = THREE_VOTERS.withLearner("d", "c");

        /** Guards against two leaders with separate quorums after several replicas were replaced. */
        @Test
        void aChangeIsRefusedWhileAnotherIsUncommitted() {
            RaftCore core = electedLeader(HardState.INITIAL, List.of());
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 1, LATER), LATER);
            assertThat(core.proposeConfiguration(withReplacement)).isPresent();
            assertThat(core.proposeConfiguration(withReplacement.withLearnerPromoted("d")))
                    .isEmpty();
        }

        @Test
        void aNewLeaderRefusesChangesUntilItCommitsAnEntryOfItsTerm() {
            RaftCore core = electedLeader(HardState.INITIAL, List.of());
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            assertThat(core.proposeConfiguration(withReplacement)).isEmpty();
        }

        @Test
        void anEmptyReplicaIsNotCaughtUp() {
            RaftCore core = electedLeader(HardState.INITIAL, List.of());
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 1, LATER), LATER);
            core.proposeConfiguration(withReplacement);
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 2, LATER), LATER);
            assertThat(core.isCaughtUp("d")).isFalse();
            core.receive("d", acknowledgement(core, 2, LATER), LATER);
            assertThat(core.isCaughtUp("d")).isTrue();
        }

        @Test
        void aPromotionMarksTheReplacedVoterAsRetiring() {
            Configuration promoted = withReplacement.withLearnerPromoted("d");
            assertThat(promoted.voters()).containsExactly("a", "b", "c", "d");
            assertThat(promoted.retiring()).containsExactly("c");
            assertThat(promoted.withoutReplica("c"))
                    .isEqualTo(new Configuration(Set.of("a", "b", "d"), Map.of(), Set.of()));
        }

        @Test
        void anEmptyReplicaNeverStartsAnElection() {
            RaftCore empty = new RaftCore(
                    OPTIONS,
                    "d",
                    new RecoveredState(
                            HardState.INITIAL, Snapshot.initial(Configuration.ofVoters(Set.of())), List.of()),
                    new Random(1),
                    START);
            empty.tick(LATER + 10_000);
            assertThat(empty.role()).isEqualTo(Role.FOLLOWER);
            assertThat(empty.takeEffects().afterWrite()).isEmpty();
        }
    }

    @Nested
    class ConfirmedReads {
        /** Guards against stale reads from a leader that was suspended while another one was elected. */
        @Test
        void aReplyToAnEarlierMessageDoesNotConfirmLeadership() {
            RaftCore core = electedLeader(new HardState(1, ""), List.of());
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 1, LATER), LATER + 1);
            core.takeEffects();
            assertThat(core.leadershipConfirmedSince(LATER - 1)).isTrue();
            assertThat(core.leadershipConfirmedSince(LATER)).isFalse();
        }

        @Test
        void aReplyToALaterMessageConfirmsLeadership() {
            RaftCore core = electedLeader(new HardState(1, ""), List.of());
            core.onWritePersisted(core.takeEffects().write(), LATER, LATER);
            core.receive("b", acknowledgement(core, 1, LATER + 50), LATER + 51);
            core.takeEffects();
            assertThat(core.leadershipConfirmedSince(LATER + 49)).isTrue();
        }

        @Test
        void aLeaderWithoutACommitInItsTermIsNotConfirmed() {
            RaftCore core = electedLeader(new HardState(1, ""), List.of());
            core.receive("b", new RaftMessage.AppendReply(core.term(), true, 0, LATER + 50), LATER + 51);
            assertThat(core.leadershipConfirmedSince(LATER)).isFalse();
        }
    }

    @Nested
    class RestartOfAllReplicas {
        private final RaftOptions withoutLease = new RaftOptions(50, 300, 0, 16, 1_000, 10);

        private RaftCore restartedReplica(String name) {
            return new RaftCore(
                    withoutLease,
                    name,
                    new RecoveredState(new HardState(4, ""), Snapshot.initial(THREE_VOTERS), List.of()),
                    new Random(1),
                    START);
        }

        /** Guards against split votes after a power failure, which delay the first election by a second. */
        @Test
        void theHigherIdentityYieldsWhereTwoReplicasPreVoteAtTheSameTime() {
            RaftCore higherIdentity = restartedReplica("b");
            higherIdentity.tick(START + 350);
            assertThat(higherIdentity.role()).isEqualTo(Role.PRE_CANDIDATE);
            higherIdentity.receive("a", new RaftMessage.VoteRequest(5, true, false, 0, 0), START + 351);
            assertThat(higherIdentity.role()).isEqualTo(Role.FOLLOWER);
            RaftCore lowerIdentity = restartedReplica("a");
            lowerIdentity.tick(START + 350);
            lowerIdentity.receive("b", new RaftMessage.VoteRequest(5, true, false, 0, 0), START + 351);
            assertThat(lowerIdentity.role()).isEqualTo(Role.PRE_CANDIDATE);
        }

        @Test
        void theFirstElectionStartsEarlyWithoutALease() {
            RaftCore core = restartedReplica("a");
            core.tick(START + 300);
            assertThat(core.role()).isEqualTo(Role.PRE_CANDIDATE);
        }

        @Test
        void aReplicaWithALeaderWaitsForTheFullElectionTimeout() {
            RaftCore core = restartedReplica("a");
            core.receive("b", new RaftMessage.AppendRequest(4, 0, 0, List.of(), 0, 1), START + 10);
            core.tick(START + 300);
            assertThat(core.role()).isEqualTo(Role.FOLLOWER);
        }
    }
}
