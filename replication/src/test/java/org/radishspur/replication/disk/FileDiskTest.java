package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.LogEntry;
import org.radishspur.replication.raft.LogEntry.Payload;
import org.radishspur.replication.raft.Recovered;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class FileDiskTest {
    private static final Identity IDENTITY = Identity.ofFounder("cluster", "a", Set.of("a", "b", "c"));
    private static final int SMALL_JOURNAL = 400;

    @TempDir
    Path path;

    private DataFolder folder;

    @BeforeEach
    void format() {
        folder = new DataFolder(path.resolve("data"));
        folder.format(IDENTITY);
    }

    private FileDisk open() {
        return new FileDisk(folder, IDENTITY, JournalFile.ChannelJournalFile::new, SMALL_JOURNAL);
    }

    private static WriteBatch entries(long term, long from, long to) {
        List<LogEntry> entries = new java.util.ArrayList<>();
        for (long index = from; index <= to; index++) {
            entries.add(new LogEntry(index, term, new Payload.Command(new byte[] {(byte) index, 1, 2, 3})));
        }
        return new WriteBatch(Optional.empty(), entries, Optional.empty());
    }

    private static WriteBatch vote(long term, String votedFor) {
        return new WriteBatch(Optional.of(new HardState(term, votedFor)), List.of(), Optional.empty());
    }

    private void write(WriteBatch... batches) {
        try (FileDisk disk = open()) {
            disk.recover();
            for (WriteBatch batch : batches) {
                disk.write(batch);
            }
        }
    }

    private Recovered recover() {
        try (FileDisk disk = open()) {
            return disk.recover();
        }
    }

    private Path lastJournal() throws IOException {
        List<Path> journals = folder.list("journal-");
        return journals.get(journals.size() - 1);
    }

    private static void assertCode(ErrorCode code, Runnable action) {
        assertThatThrownBy(action::run)
                .isInstanceOfSatisfying(
                        RadishspurException.class,
                        failure -> assertThat(failure.code()).isEqualTo(code));
    }

    @Nested
    class AfterARestart {
        @Test
        void everythingWrittenIsThere() {
            write(vote(3, "b"), entries(3, 1, 5));
            Recovered recovered = recover();
            assertThat(recovered.hardState()).isEqualTo(new HardState(3, "b"));
            assertThat(recovered.entries()).extracting(LogEntry::index).containsExactly(1L, 2L, 3L, 4L, 5L);
        }

        @Test
        void aLaterEntryReplacesThoseFromItsIndexOn() {
            write(entries(1, 1, 5), entries(2, 3, 3));
            assertThat(recover().entries()).extracting(LogEntry::term).containsExactly(1L, 1L, 2L);
        }

        @Test
        void aVoteSurvivesTheDeletionOfTheJournalThatHeldIt() {
            write(vote(7, "c"));
            for (long index = 1; index <= 60; index++) {
                write(entries(7, index, index));
            }
            Snapshot snapshot = new Snapshot(60, 7, Configuration.ofVoters(Set.of("a#founder")), new byte[10]);
            write(new WriteBatch(Optional.empty(), List.of(), Optional.of(snapshot)));
            assertThat(recover().hardState()).isEqualTo(new HardState(7, "c"));
            assertThat(recover().snapshot().lastIndex()).isEqualTo(60);
            assertThat(recover().entries()).isEmpty();
        }

        @Test
        void entriesBehindASnapshotStayOnlyIfTheyContinueIt() {
            Snapshot foreign = new Snapshot(3, 9, Configuration.ofVoters(Set.of("a#founder")), new byte[1]);
            write(entries(1, 1, 5), new WriteBatch(Optional.empty(), List.of(), Optional.of(foreign)));
            assertThat(recover().entries()).isEmpty();
            Snapshot own = new Snapshot(4, 10, Configuration.ofVoters(Set.of("a#founder")), new byte[1]);
            write(entries(10, 4, 6), new WriteBatch(Optional.empty(), List.of(), Optional.of(own)));
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(5L, 6L);
        }
    }

    @Nested
    class WithDamage {
        /** Guards against a failure in which a control host refuses to start after a power cut, or forgets its vote. */
        @Test
        void aTornTailIsCutAtEveryLength() throws IOException {
            write(vote(3, "b"), entries(3, 1, 1));
            byte[] intact = Files.readAllBytes(lastJournal());
            write(entries(3, 2, 2));
            byte[] longer = Files.readAllBytes(lastJournal());
            for (int length = intact.length; length < longer.length; length++) {
                Files.write(lastJournal(), java.util.Arrays.copyOf(longer, length));
                assertThat(recover().entries()).hasSize(1);
                assertThat(recover().hardState()).isEqualTo(new HardState(3, "b"));
            }
        }

        /** Guards against a failure in which an accepted edit is gone because a damaged replica voted. */
        @Test
        void damageBeforeTheTailIsReportedAndNothingIsCut() throws IOException {
            write(vote(3, "b"), entries(3, 1, 1), entries(3, 2, 2));
            byte[] bytes = Files.readAllBytes(lastJournal());
            bytes[bytes.length / 2] ^= 1;
            Files.write(lastJournal(), bytes);
            assertCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
            assertThat(Files.readAllBytes(lastJournal())).isEqualTo(bytes);
        }

        @Test
        void aDamagedSnapshotIsReported() throws IOException {
            Snapshot snapshot = new Snapshot(2, 1, Configuration.ofVoters(Set.of("a#founder")), new byte[50]);
            write(entries(1, 1, 2), new WriteBatch(Optional.empty(), List.of(), Optional.of(snapshot)));
            Path file = folder.list("snapshot-").get(0);
            byte[] bytes = Files.readAllBytes(file);
            bytes[bytes.length - 1] ^= 1;
            Files.write(file, bytes);
            assertCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
        }

        @Test
        void theJournalOfAnotherReplicaIsReported() throws IOException {
            write(entries(1, 1, 1));
            Identity other = Identity.ofJoiner("cluster", "a", "x");
            FileDisk disk = new FileDisk(folder, other, JournalFile.ChannelJournalFile::new, SMALL_JOURNAL);
            assertCode(ErrorCode.FOREIGN_DATA, disk::recover);
        }
    }

    @Nested
    class WithAFailingDisk {
        /** Guards against a failure in which a full disk damages the log of a control host for good. */
        @Test
        void aFullDiskDamagesNothing() {
            FaultyJournalFactory flaky = new FaultyJournalFactory();
            try (FileDisk disk = new FileDisk(folder, IDENTITY, flaky::open, SMALL_JOURNAL)) {
                disk.recover();
                disk.write(entries(1, 1, 1));
                flaky.diskFullAtNextAppend = true;
                assertCode(ErrorCode.DISK_FULL, () -> disk.write(entries(1, 2, 2)));
                disk.write(entries(1, 2, 2));
            }
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(1L, 2L);
        }

        @Test
        void aFailedSyncIsNotTakenForSuccess() {
            FaultyJournalFactory flaky = new FaultyJournalFactory();
            try (FileDisk disk = new FileDisk(folder, IDENTITY, flaky::open, SMALL_JOURNAL)) {
                disk.recover();
                flaky.failSync = true;
                assertCode(ErrorCode.DISK_FAILED, () -> disk.write(entries(1, 1, 1)));
            }
        }
    }

    @Nested
    class Formatting {
        @Test
        void happensOnce() {
            assertCode(ErrorCode.DATA_FOLDER_STATE, () -> folder.format(IDENTITY));
        }

        @Test
        void isNeededFirst() {
            DataFolder blank = new DataFolder(path.resolve("blank"));
            assertCode(ErrorCode.DATA_FOLDER_STATE, () -> blank.identity("cluster", "a"));
        }

        @Test
        void bindsTheFolderToItsClusterAndNode() {
            assertCode(ErrorCode.FOREIGN_DATA, () -> folder.identity("another", "a"));
            assertCode(ErrorCode.FOREIGN_DATA, () -> folder.identity("cluster", "b"));
            assertThat(folder.identity("cluster", "a")).isEqualTo(IDENTITY);
        }
    }

    /**
     * Fails when told to.
     */
    private static final class FaultyJournalFactory {
        private boolean diskFullAtNextAppend;
        private boolean failSync;

        JournalFile open(Path file) throws IOException {
            JournalFile real = new JournalFile.ChannelJournalFile(file);
            return new JournalFile() {
                @Override
                public void append(ByteBuffer bytes) throws IOException {
                    if (diskFullAtNextAppend) {
                        diskFullAtNextAppend = false;
                        real.append(bytes.slice(0, bytes.remaining() / 2));
                        throw new IOException("No space left on device");
                    }
                    real.append(bytes);
                }

                @Override
                public void force() throws IOException {
                    if (failSync) {
                        throw new IOException("Input/output error");
                    }
                    real.force();
                }

                @Override
                public void truncate(long length) throws IOException {
                    real.truncate(length);
                }

                @Override
                public void close() throws IOException {
                    real.close();
                }
            };
        }
    }

    @Test
    void aTornFirstRecordOfTheNextJournalLosesNothing() throws IOException {
        write(vote(7, "c"));
        for (long index = 1; index <= 20; index++) {
            write(entries(7, index, index));
        }
        List<Path> journals = folder.list("journal-");
        assertThat(journals.size()).isGreaterThan(1);
        Path next = journals.get(0).resolveSibling(String.format("journal-%020d", journals.size() + 1));
        Files.write(next, new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
        assertThat(recover().hardState()).isEqualTo(new HardState(7, "c"));
        assertThat(recover().entries()).hasSize(20);
    }
}
