package org.radishspur.replication.control;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.radishspur.replication.raft.LogLimits;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.state.CatalogueState.Document;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Publishes many large documents, and checks how much of the log the replicas keep in memory.
 */
class LogMemoryTest {
    private static final int KIBIBYTE = 1 << 10;
    private static final int DOCUMENT_BYTES = 64 * KIBIBYTE;

    /** The limits of a control host, divided by 64, which is also the relation of the documents to the largest one. */
    private static final LogLimits LIMITS =
            new LogLimits(16 * KIBIBYTE, 64 * KIBIBYTE, 32 * KIBIBYTE, 64 * KIBIBYTE, 224 * KIBIBYTE);

    private static final int ENTRIES_PER_SNAPSHOT = 40;
    private static final int CHANGES = 200;
    private static final long SETTLING_MILLIS = 30_000;

    private static SimulatedGroup group() {
        return new SimulatedGroup(new RaftOptions(60, 400, 0, 4, 16 * KIBIBYTE, 8, LIMITS), ENTRIES_PER_SNAPSHOT);
    }

    private static Document document(long revision, int bytes) {
        return new Document(revision, "x".repeat(bytes));
    }

    private static void assertThatAllHave(SimulatedGroup group, long revision) {
        group.run(SETTLING_MILLIS);
        assertThat(group.members()).allMatch(member -> member.revision() == revision);
    }

    @Nested
    class ManyLargeDocuments {
        private SimulatedGroup group;

        @BeforeEach
        void start() {
            group = group();
        }

        private void publishAll() {
            for (long revision = 1; revision <= CHANGES; revision++) {
                group.publish(document(revision, DOCUMENT_BYTES));
            }
        }

        /** Guards against control hosts that run out of memory because the log is bounded by entries only. */
        @Test
        void leaveTheLogWithinItsLimit() {
            publishAll();
            assertThat(group.peakBytes()).isLessThan(LIMITS.totalBytes());
            assertThatAllHave(group, CHANGES);
        }

        /** Guards against a leader that keeps the log for a follower that can't be reached. */
        @Test
        void leaveItWithinItsLimitWhileAFollowerIsCutOff() {
            SimulatedGroup.Member leader = group.leader();
            List<SimulatedGroup.Member> followers =
                    group.members().stream().filter(member -> member != leader).toList();
            followers.get(0).setCutOff(true);
            publishAll();
            followers.get(0).setCutOff(false);
            assertThatAllHave(group, CHANGES);
            assertThat(group.peakBytes()).isLessThan(LIMITS.totalBytes());
        }

        /** Guards against a follower with a slow disk, for which the log and the messages under way would grow. */
        @Test
        void leaveItWithinItsLimitWhileTheDiskOfAFollowerIsSlow() {
            SimulatedGroup.Member leader = group.leader();
            List<SimulatedGroup.Member> followers =
                    group.members().stream().filter(member -> member != leader).toList();
            followers.get(0).setDiskMillis(500, 5_000);
            publishAll();
            assertThat(group.peakBytes()).isLessThan(LIMITS.totalBytes());
            followers.get(0).setDiskMillis(1, 1);
            assertThatAllHave(group, CHANGES);
        }

        /** Guards against a log that grows while each disk takes long for a snapshot; changes have to wait then. */
        @Test
        void areRefusedWhileSnapshotsTakeLong() {
            group.members().forEach(member -> member.setDiskMillis(1, 3_000));
            int refusals = 0;
            for (long revision = 1; revision <= 20; revision++) {
                refusals += group.publish(document(revision, DOCUMENT_BYTES));
            }
            assertThat(refusals).isPositive();
            assertThat(group.peakBytes()).isLessThanOrEqualTo(LIMITS.totalBytes());
            assertThatAllHave(group, 20);
        }
    }

    /** Guards against any order of sizes, slow disks and cuts in which the log grows or a replica gets stuck. */
    @Property(tries = 60, seed = "20")
    void logsStayWithinTheirLimitAndReplicasCatchUp(@ForAll @LongRange(min = 1, max = Long.MAX_VALUE) long seed) {
        Random random = new Random(seed);
        SimulatedGroup group = group();
        for (long revision = 1; revision <= 60; revision++) {
            SimulatedGroup.Member any = group.members().get(random.nextInt(3));
            group.members().forEach(member -> member.setCutOff(false));
            any.setCutOff(random.nextInt(4) == 0);
            any.setDiskMillis(1 + random.nextInt(60), 1 + random.nextInt(2_000));
            group.propose(document(revision, 1 + random.nextInt(DOCUMENT_BYTES)));
            group.run(random.nextInt(120));
        }
        group.members().forEach(member -> {
            member.setCutOff(false);
            member.setDiskMillis(1, 1);
        });
        group.run(SETTLING_MILLIS);
        group.publish(document(1_000, DOCUMENT_BYTES));
        assertThatAllHave(group, 1_000);
        assertThat(group.peakBytes()).isLessThanOrEqualTo(LIMITS.totalBytes() + DOCUMENT_BYTES);
    }
}
