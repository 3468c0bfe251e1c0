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
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class FileDiskTest {
    private static final Identity IDENTITY = Identity.ofFounder("cluster", "a", Set.of("a", "b", "c"));
    private static final int SMALL_JOURNAL_BYTES = 400;

    @TempDir
    Path path;

    private DataFolder folder;

    @BeforeEach
    void format() {
        folder = new DataFolder(path.resolve("data"));
        folder.format(IDENTITY);
    }

    private FileDisk open() {
        return new FileDisk(folder, IDENTITY, JournalFile.ChannelJournalFile::new, SMALL_JOURNAL_BYTES);
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

    private RecoveredState recover() {
        try (FileDisk disk = open()) {
            return disk.recover();
        }
    }

    private Path lastJournal() throws IOException {
        List<Path> journals = folder.list("journal-");
        return journals.get(journals.size() - 1);
    }

    private static void assertErrorCode(ErrorCode code, Runnable action) {
        assertThatThrownBy(action::run)
                .isInstanceOfSatisfying(
                        RadishspurException.class,
                        failure -> assertThat(failure.code()).isEqualTo(code));
    }

    @Nested
    class AfterARestart {
        @Test
        void writtenEntriesAndElectionStateAreRecovered() {
            write(vote(3, "b"), entries(3, 1, 5));
            RecoveredState recovered = recover();
            assertThat(recovered.hardState()).isEqualTo(new HardState(3, "b"));
            assertThat(recovered.entries()).extracting(LogEntry::index).containsExactly(1L, 2L, 3L, 4L, 5L);
        }

        @Test
        void aLaterEntryReplacesAllEntriesFromItsIndexOn() {
            write(entries(1, 1, 5), entries(2, 3, 3));
            assertThat(recover().entries()).extracting(LogEntry::term).containsExactly(1L, 1L, 2L);
        }

        @Test
        void aVoteSurvivesTheDeletionOfTheJournalThatContainedIt() {
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
        void entriesAfterASnapshotAreKeptOnlyIfTheLogMatchesIt() {
            Snapshot diverging = new Snapshot(3, 9, Configuration.ofVoters(Set.of("a#founder")), new byte[1]);
            write(entries(1, 1, 5), new WriteBatch(Optional.empty(), List.of(), Optional.of(diverging)));
            assertThat(recover().entries()).isEmpty();
            Snapshot matching = new Snapshot(4, 10, Configuration.ofVoters(Set.of("a#founder")), new byte[1]);
            write(entries(10, 4, 6), new WriteBatch(Optional.empty(), List.of(), Optional.of(matching)));
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(5L, 6L);
        }
    }

    @Nested
    class WithDamage {
        /**
         * Guards against a control host that refuses to start or loses its vote after a power failure during a write.
         */
        @Test
        void aTornLastRecordOfAnyLengthIsDiscarded() throws IOException {
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

        /** Guards against the loss of an accepted edit because a replica votes after it has truncated a damaged log. */
        @Test
        void damageBeforeTheLastRecordIsReportedAndNothingIsTruncated() throws IOException {
            write(vote(3, "b"), entries(3, 1, 1), entries(3, 2, 2));
            byte[] bytes = Files.readAllBytes(lastJournal());
            bytes[bytes.length / 2] ^= 1;
            Files.write(lastJournal(), bytes);
            assertErrorCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
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
            assertErrorCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
        }

        @Test
        void theJournalOfAnotherReplicaIsReported() throws IOException {
            write(entries(1, 1, 1));
            Identity other = Identity.ofJoiner("cluster", "a", "x");
            FileDisk disk = new FileDisk(folder, other, JournalFile.ChannelJournalFile::new, SMALL_JOURNAL_BYTES);
            assertErrorCode(ErrorCode.FOREIGN_DATA, disk::recover);
        }
    }

    @Nested
    class WithAFailingDisk {
        /** Guards against permanent damage to the log by the partial record that a full disk leaves behind. */
        @Test
        void aBatchCanBeWrittenAgainAfterTheDiskWasFull() {
            FaultyJournalFactory faulty = new FaultyJournalFactory();
            try (FileDisk disk = new FileDisk(folder, IDENTITY, faulty::open, SMALL_JOURNAL_BYTES)) {
                disk.recover();
                disk.write(entries(1, 1, 1));
                faulty.diskFullAtNextAppend = true;
                assertErrorCode(ErrorCode.DISK_FULL, () -> disk.write(entries(1, 2, 2)));
                disk.write(entries(1, 2, 2));
            }
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(1L, 2L);
        }

        @Test
        void aFailedSyncIsReported() {
            FaultyJournalFactory faulty = new FaultyJournalFactory();
            try (FileDisk disk = new FileDisk(folder, IDENTITY, faulty::open, SMALL_JOURNAL_BYTES)) {
                disk.recover();
                faulty.failSync = true;
                assertErrorCode(ErrorCode.DISK_FAILED, () -> disk.write(entries(1, 1, 1)));
            }
        }
    }

    @Nested
    class Formatting {
        @Test
        void isRejectedForAFormattedFolder() {
            assertErrorCode(ErrorCode.DATA_FOLDER_STATE, () -> folder.format(IDENTITY));
        }

        @Test
        void isRequiredBeforeTheIdentityIsRead() {
            DataFolder unformatted = new DataFolder(path.resolve("blank"));
            assertErrorCode(ErrorCode.DATA_FOLDER_STATE, () -> unformatted.identity("cluster", "a"));
        }

        @Test
        void bindsTheFolderToItsClusterAndNode() {
            assertErrorCode(ErrorCode.FOREIGN_DATA, () -> folder.identity("another", "a"));
            assertErrorCode(ErrorCode.FOREIGN_DATA, () -> folder.identity("cluster", "b"));
            assertThat(folder.identity("cluster", "a")).isEqualTo(IDENTITY);
        }
    }

    /**
     * Opens journals whose next append or whose syncs can be made to fail.
     */
    private static final class FaultyJournalFactory {
        private boolean diskFullAtNextAppend;
        private boolean failSync;

        JournalFile open(Path file) throws IOException {
            JournalFile delegate = new JournalFile.ChannelJournalFile(file);
            return new JournalFile() {
                @Override
                public void append(ByteBuffer bytes) throws IOException {
                    if (diskFullAtNextAppend) {
                        diskFullAtNextAppend = false;
                        delegate.append(bytes.slice(0, bytes.remaining() / 2));
                        throw new IOException("No space left on device");
                    }
                    delegate.append(bytes);
                }

                @Override
                public void force() throws IOException {
                    if (failSync) {
                        throw new IOException("Input/output error");
                    }
                    delegate.force();
                }

                @Override
                public void truncate(long length) throws IOException {
                    delegate.truncate(length);
                }

                @Override
                public void close() throws IOException {
                    delegate.close();
                }
            };
        }
    }

    @Test
    void aTornFirstRecordOfANewJournalLosesNothing() throws IOException {
        write(vote(7, "c"));
        for (long index = 1; index <= 20; index++) {
            write(entries(7, index, index));
        }
        List<Path> journals = folder.list("journal-");
        assertThat(journals.size()).isGreaterThan(1);
        Path newJournal = journals.get(0).resolveSibling(String.format("journal-%020d", journals.size() + 1));
        Files.write(newJournal, new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
        assertThat(recover().hardState()).isEqualTo(new HardState(7, "c"));
        assertThat(recover().entries()).hasSize(20);
    }
}
