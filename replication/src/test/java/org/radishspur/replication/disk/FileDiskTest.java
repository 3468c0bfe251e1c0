package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.replication.codec.MessagePack;
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
        return new FileDisk(folder.storage(), IDENTITY, SMALL_JOURNAL_BYTES);
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

    private static WriteBatch snapshot(long index, long term) {
        Configuration configuration = Configuration.ofVoters(Set.of("a#founder"));
        Snapshot snapshot = new Snapshot(index, term, configuration, new byte[] {(byte) index});
        return new WriteBatch(Optional.empty(), List.of(), Optional.of(snapshot));
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

    private List<Path> files(String prefix) throws IOException {
        return folder.storage().list(prefix).stream()
                .map(folder.path()::resolve)
                .toList();
    }

    private Path lastJournal() throws IOException {
        List<Path> journals = files("journal-");
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
    class AfterTheDeletionOfAJournal {
        /**
         * Guards against the loss of synced entries behind a snapshot whose last entry is the last one of the deleted
         * journal.
         */
        @Test
        void entriesThatFollowTheSnapshotAreRecovered() throws IOException {
            long next = writeUntilASecondJournalBegins();
            write(snapshot(next - 2, 1));
            assertThat(files("journal-")).hasSize(1);
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(next - 1);
        }

        /** Guards against a replica that never starts again, as the log seems to have a gap behind such a snapshot. */
        @Test
        void entriesAfterTheRecordOfTheSnapshotAreRecovered() throws IOException {
            long next = writeUntilASecondJournalBegins();
            write(snapshot(next - 2, 1), entries(1, next, next));
            assertThat(files("journal-")).hasSize(1);
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(next - 1, next);
        }

        /** Guards against uncommitted entries of another log that come back behind the snapshot of a leader. */
        @Test
        void entriesThatTheSnapshotReplacedStayDropped() throws IOException {
            long next = writeUntilASecondJournalBegins();
            write(snapshot(next - 2, 2));
            assertThat(files("journal-")).hasSize(1);
            assertThat(recover().entries()).isEmpty();
            write(entries(2, next - 1, next - 1));
            assertThat(recover().entries()).extracting(LogEntry::term).containsExactly(2L);
        }

        /** Guards against a warning about an earlier version where none has written to the disk. */
        @Test
        void entriesOfThisVersionAreRecoveredWithoutANote() throws IOException {
            long next = writeUntilASecondJournalBegins();
            write(snapshot(next - 2, 1));
            assertThat(linesLoggedBy(() -> assertThat(recover().entries()).hasSize(1)))
                    .isEmpty();
        }

        /** Guards against a log that silently ends too early, as a journal is lost that the snapshot doesn't cover. */
        @Test
        void aLogThatEndsTooEarlyIsReported() throws IOException {
            write(entries(1, 1, 4), snapshot(2, 1));
            Files.delete(lastJournal());
            try (Storage.AppendFile journal = folder.storage().open(String.format("journal-%020d", 2))) {
                journal.append(JournalCodec.frame(
                        new JournalRecord(IDENTITY.replica(), Optional.empty(), List.of(), 2, 1, 4)));
            }
            assertErrorCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
        }

        /** Writes entries one by one until the second journal has one, and returns the index of the next entry. */
        private long writeUntilASecondJournalBegins() throws IOException {
            long next = 1;
            while (files("journal-").size() < 2) {
                write(entries(1, next, next));
                next++;
            }
            return next;
        }
    }

    /** Logs whose records don't state the last index of the log, and whose earlier journals are deleted. */
    @Nested
    class WrittenByAnEarlierVersion {
        private static final long SNAPSHOT_INDEX = 10;

        /** Guards against a replica that doesn't start with such a log although all its entries are there. */
        @Test
        void entriesBeforeAndAfterTheRecordOfTheSnapshotAreRecovered() throws IOException {
            writeRecords(entries(3, 11, 12), snapshot(SNAPSHOT_INDEX, 3), entries(3, 13, 14));
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(11L, 12L, 13L, 14L);
            write(entries(3, 15, 15));
            assertThat(recover().entries()).hasSize(5);
        }

        /** Guards against an operator who can't see why a replica starts that an earlier version refused to start. */
        @Test
        void entriesThatWereDroppedBeforeAreStated() throws IOException {
            writeRecords(entries(3, 11, 12), snapshot(SNAPSHOT_INDEX, 3), entries(3, 13, 14));
            assertThat(linesLoggedBy(FileDiskTest.this::recover))
                    .singleElement()
                    .asString()
                    .contains("Entries 11 to 12 were kept");
        }

        @Test
        void entriesOfALowerTermThanTheSnapshotAreDropped() throws IOException {
            writeRecords(entries(2, 11, 12), snapshot(SNAPSHOT_INDEX, 3));
            assertThat(recover().entries()).isEmpty();
        }

        @Test
        void entriesWithADifferentLastEntryOfTheSnapshotAreDropped() throws IOException {
            writeRecords(entries(2, 1, 12), snapshot(SNAPSHOT_INDEX, 3));
            assertThat(linesLoggedBy(() -> assertThat(recover().entries()).isEmpty()))
                    .isEmpty();
        }

        /**
         * Guards against a replica that doesn't start after a power loss that undid the deletion of one journal, but not
         * of the one after it, which replaced its entries.
         */
        @Test
        void aJournalBeforeADeletedOneIsIgnored() throws IOException {
            writeRecords(1, entries(2, 1, 10));
            writeRecords(3, entries(3, 11, 12), snapshot(SNAPSHOT_INDEX, 3), entries(3, 13, 14));
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(11L, 12L, 13L, 14L);
        }

        /** Guards against a log that is taken for complete although a journal in its middle is missing. */
        @Test
        void aGapIsReported() throws IOException {
            writeRecords(entries(3, 11, 12), snapshot(SNAPSHOT_INDEX, 3), entries(3, 14, 14));
            assertErrorCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
        }

        /**
         * Guards against a log that is taken for empty although a damaged folder has lost a journal that no snapshot
         * covers.
         */
        @Test
        void aMissingJournalThatNoSnapshotCoversIsReported() throws IOException {
            writeRecords(1, entries(2, 1, 10));
            writeRecords(3, vote(3, "b"));
            assertErrorCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
        }

        /** Writes records that have one component less than now into the second journal, without the first one. */
        private void writeRecords(WriteBatch... batches) throws IOException {
            writeRecords(2, batches);
        }

        private void writeRecords(int number, WriteBatch... batches) throws IOException {
            for (WriteBatch batch : batches) {
                if (batch.snapshot().isPresent()) {
                    writeSnapshotFile(batch.snapshot().get());
                }
            }
            try (Storage.AppendFile journal = folder.storage().open(String.format("journal-%020d", number))) {
                for (WriteBatch batch : batches) {
                    journal.append(JournalCodec.frame(MessagePack.INSTANCE.encode(new EarlierRecord(
                            IDENTITY.replica(),
                            batch.hardState(),
                            batch.entries(),
                            batch.snapshot().map(Snapshot::lastIndex).orElse(0L),
                            batch.snapshot().map(Snapshot::lastTerm).orElse(0L)))));
                }
            }
        }

        private void writeSnapshotFile(Snapshot snapshot) {
            try (FileDisk disk = open()) {
                disk.prepareSnapshot(snapshot);
            }
        }
    }

    @Nested
    class WithSnapshotsOfEndedProcesses {
        /**
         * Guards against a replica that never starts again, as the files of newer snapshots, which never took effect,
         * are kept in place of the one in effect.
         */
        @Test
        void theSnapshotInEffectIsKept() {
            write(entries(1, 1, 10));
            prepareSnapshotAndEnd(9);
            prepareSnapshotAndEnd(10);
            write(snapshot(8, 1));
            assertThat(recover().snapshot().lastIndex()).isEqualTo(8);
        }

        /** Guards against a disk that fills with snapshots that never took effect or were never complete. */
        @Test
        void filesThatAreNotInEffectAreDeleted() throws IOException {
            write(entries(1, 1, 10), snapshot(8, 1));
            prepareSnapshotAndEnd(9);
            Path incomplete = folder.path().resolve("snapshot-00000000000000000010.tmp");
            Files.write(incomplete, new byte[] {1, 2, 3});
            Path copyOfAnOperator = folder.path().resolve("snapshot-00000000000000000008.copy");
            Files.write(copyOfAnOperator, new byte[] {1, 2, 3});
            recover();
            assertThat(files("snapshot-"))
                    .containsExactly(folder.path().resolve("snapshot-00000000000000000008"), copyOfAnOperator);
        }

        private void prepareSnapshotAndEnd(long index) {
            try (FileDisk disk = open()) {
                disk.recover();
                disk.prepareSnapshot(snapshot(index, 1).snapshot().orElseThrow());
            }
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

        /**
         * Guards against a control host that refuses to start after a power failure that left a block of zeros in place
         * of the end of a record, of its header too.
         */
        @Test
        void aLastRecordThatEndsInZerosIsDiscarded() throws IOException {
            write(vote(3, "b"), entries(3, 1, 1));
            byte[] intact = Files.readAllBytes(lastJournal());
            write(entries(3, 2, 2));
            byte[] longer = Files.readAllBytes(lastJournal());
            for (int length = intact.length; length < longer.length; length++) {
                Files.write(
                        lastJournal(), java.util.Arrays.copyOf(java.util.Arrays.copyOf(longer, length), longer.length));
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
            Path file = files("snapshot-").get(0);
            byte[] bytes = Files.readAllBytes(file);
            bytes[bytes.length - 1] ^= 1;
            Files.write(file, bytes);
            assertErrorCode(ErrorCode.LOG_CORRUPT, FileDiskTest.this::recover);
        }

        @Test
        void theJournalOfAnotherReplicaIsReported() throws IOException {
            write(entries(1, 1, 1));
            Identity other = Identity.ofJoiner("cluster", "a", "x");
            FileDisk disk = new FileDisk(folder.storage(), other, SMALL_JOURNAL_BYTES);
            assertErrorCode(ErrorCode.FOREIGN_DATA, disk::recover);
        }
    }

    @Nested
    class WithAFailingDisk {
        /** Guards against permanent damage to the log by the partial record that a full disk leaves behind. */
        @Test
        void aBatchCanBeWrittenAgainAfterTheDiskWasFull() {
            FaultyStorage faulty = new FaultyStorage(folder.storage());
            try (FileDisk disk = new FileDisk(faulty, IDENTITY, SMALL_JOURNAL_BYTES)) {
                disk.recover();
                disk.write(entries(1, 1, 1));
                faulty.diskFullAtNextAppend = true;
                assertErrorCode(ErrorCode.DISK_FULL, () -> disk.write(entries(1, 2, 2)));
                disk.write(entries(1, 2, 2));
            }
            assertThat(recover().entries()).extracting(LogEntry::index).containsExactly(1L, 2L);
        }

        /**
         * Guards against a second vote in a term, as the first record of a journal, which repeats the election state,
         * didn't fit on the disk and earlier journals are deleted.
         */
        @Test
        void aVoteSurvivesIfTheDiskIsFullWhileAJournalIsOpened() throws IOException {
            FaultyStorage faulty = new FaultyStorage(folder.storage());
            long next = 1;
            try (FileDisk disk = new FileDisk(faulty, IDENTITY, SMALL_JOURNAL_BYTES)) {
                disk.recover();
                disk.write(vote(7, "c"));
                while (Files.size(lastJournal()) <= SMALL_JOURNAL_BYTES) {
                    disk.write(entries(7, next, next));
                    next++;
                }
                WriteBatch first = entries(7, next, next);
                faulty.diskFullAtNextAppend = true;
                assertErrorCode(ErrorCode.DISK_FULL, () -> disk.write(first));
                disk.write(first);
                disk.write(snapshot(next, 7));
            }
            assertThat(files("journal-")).hasSize(1);
            assertThat(recover().hardState()).isEqualTo(new HardState(7, "c"));
        }

        @Test
        void aFailedSyncIsReported() {
            FaultyStorage faulty = new FaultyStorage(folder.storage());
            try (FileDisk disk = new FileDisk(faulty, IDENTITY, SMALL_JOURNAL_BYTES)) {
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

    /** Returns the messages that the replay logs during an action. */
    private static List<String> linesLoggedBy(Runnable action) {
        List<String> lines = new java.util.ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord line) {
                lines.add(line.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger logger = Logger.getLogger(JournalReplay.class.getName());
        logger.addHandler(handler);
        logger.setUseParentHandlers(false);
        try {
            action.run();
        } finally {
            logger.removeHandler(handler);
            logger.setUseParentHandlers(true);
        }
        return lines;
    }

    /**
     * Opens files whose next append or whose syncs can be made to fail.
     */
    private static final class FaultyStorage implements Storage {
        private final Storage delegate;
        private boolean diskFullAtNextAppend;
        private boolean failSync;

        FaultyStorage(Storage delegate) {
            this.delegate = delegate;
        }

        @Override
        public String location() {
            return delegate.location();
        }

        @Override
        public List<String> list(String prefix) throws IOException {
            return delegate.list(prefix);
        }

        @Override
        public byte[] read(String name) throws IOException {
            return delegate.read(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            delegate.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            delegate.delete(name);
        }

        @Override
        public void sync() throws IOException {
            delegate.sync();
        }

        @Override
        public AppendFile open(String name) throws IOException {
            AppendFile file = delegate.open(name);
            return new AppendFile() {
                @Override
                public void append(ByteBuffer bytes) throws IOException {
                    if (diskFullAtNextAppend) {
                        diskFullAtNextAppend = false;
                        file.append(bytes.slice(0, bytes.remaining() / 2));
                        throw new IOException("No space left on device");
                    }
                    file.append(bytes);
                }

                @Override
                public void force() throws IOException {
                    if (failSync) {
                        throw new IOException("Input/output error");
                    }
                    file.force();
                }

                @Override
                public void truncate(long length) throws IOException {
                    file.truncate(length);
                }

                @Override
                public void close() throws IOException {
                    file.close();
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
        List<Path> journals = files("journal-");
        assertThat(journals.size()).isGreaterThan(1);
        Path newJournal = journals.get(0).resolveSibling(String.format("journal-%020d", journals.size() + 1));
        Files.write(newJournal, new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
        assertThat(recover().hardState()).isEqualTo(new HardState(7, "c"));
        assertThat(recover().entries()).hasSize(20);
    }
}
