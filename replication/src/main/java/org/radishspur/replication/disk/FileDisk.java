package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RadishspurException;
import org.radishspur.replication.codec.MessagePack;
import org.radishspur.replication.raft.Configuration;
import org.radishspur.replication.raft.Disk;
import org.radishspur.replication.raft.HardState;
import org.radishspur.replication.raft.RecoveredState;
import org.radishspur.replication.raft.Snapshot;
import org.radishspur.replication.raft.WriteBatch;

/**
 * Stores write batches in append-only journals, and each snapshot in a file of its own. A journal is deleted once a
 * snapshot covers all its entries.
 */
public final class FileDisk implements Disk {
    private static final int NUMBER_DIGITS = 20;
    private static final String JOURNAL_PREFIX = "journal-";
    private static final long FIRST_JOURNAL = 1;
    private static final String SNAPSHOT_PREFIX = "snapshot-";

    /** The size after which a journal is closed, in bytes; a journal is read as a whole when a process starts. */
    private static final long DEFAULT_JOURNAL_BYTES = 8L << 20;

    private static final int KEPT_EARLIER_SNAPSHOTS = 1;

    private final Storage storage;
    private final Identity identity;
    private final long journalBytes;
    private final Deque<ClosedJournal> closedJournals = new ArrayDeque<>();
    private final Set<Long> preparedSnapshots = ConcurrentHashMap.newKeySet();
    private HardState hardState = HardState.INITIAL;
    private LogExtent extent;
    private JournalWriter currentJournal;

    /**
     * Creates the disk of a formatted folder; nothing is read before {@link #recover()}.
     *
     * @param folder the folder.
     * @param identity the identity of the folder.
     */
    public FileDisk(DataFolder folder, Identity identity) {
        this(folder.storage(), identity, DEFAULT_JOURNAL_BYTES);
    }

    FileDisk(Storage storage, Identity identity, long journalBytes) {
        this.storage = storage;
        this.identity = identity;
        this.journalBytes = journalBytes;
    }

    /** {@inheritDoc} */
    @Override
    public RecoveredState recover() {
        try {
            JournalReplay replay = new JournalReplay();
            List<String> files = storage.list(JOURNAL_PREFIX);
            int first = indexAfterLastGap(files);
            for (String name : files.subList(0, first)) {
                closedJournals.add(new ClosedJournal(name, 0));
            }
            for (int index = first; index < files.size(); index++) {
                boolean last = index == files.size() - 1;
                replayJournal(files.get(index), last, replay);
            }
            if (!files.isEmpty()
                    && numberOf(files.get(first), JOURNAL_PREFIX) > FIRST_JOURNAL
                    && replay.snapshotIndex() == 0) {
                throw new RadishspurException(
                        ErrorCode.LOG_CORRUPT, "no snapshot covers the journals before " + files.get(first));
            }
            hardState = replay.hardState();
            Snapshot snapshot = replay.snapshotIndex() > 0
                    ? readSnapshot(replay.snapshotIndex())
                    : Snapshot.initial(Configuration.ofVoters(identity.initialVoters()));
            RecoveredState recovered = replay.finish(snapshot);
            extent = new LogExtent(recovered);
            deleteUnusedSnapshots(snapshot.lastIndex());
            if (files.isEmpty()) {
                currentJournal = new JournalWriter(storage, nameOf(JOURNAL_PREFIX, FIRST_JOURNAL), 0, 0);
            }
            return recovered;
        } catch (IOException exception) {
            throw new RadishspurException(
                    ErrorCode.FILE_UNREADABLE, "can't read the log in " + storage.location(), exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void write(WriteBatch batch) {
        if (batch.isEmpty()) {
            return;
        }
        try {
            if (batch.snapshot().isPresent()
                    && !preparedSnapshots.remove(batch.snapshot().get().lastIndex())) {
                writeSnapshot(batch.snapshot().get());
            }
            if (currentJournal.length() > journalBytes) {
                rollJournal();
            }
            if (currentJournal.length() == 0) {
                // Without this record, the election state would be lost once the earlier journals are deleted, and the
                // replica could vote twice in a term.
                currentJournal.append(new JournalRecord(
                        identity.replica(), Optional.of(hardState), List.of(), 0, 0, extent.lastIndex()));
            }
            currentJournal.append(new JournalRecord(
                    identity.replica(),
                    batch.hardState(),
                    batch.entries(),
                    batch.snapshot().map(Snapshot::lastIndex).orElse(0L),
                    batch.snapshot().map(Snapshot::lastTerm).orElse(0L),
                    extent.lastIndexAfter(batch)));
            hardState = batch.hardState().orElse(hardState);
            extent.apply(batch);
            batch.snapshot().ifPresent(this::deleteCoveredFiles);
        } catch (IOException exception) {
            throw DiskFaults.translate("can't write to " + storage.location(), exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void prepareSnapshot(Snapshot snapshot) {
        try {
            writeSnapshot(snapshot);
            preparedSnapshots.add(snapshot.lastIndex());
        } catch (IOException exception) {
            throw DiskFaults.translate("can't write to " + storage.location(), exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            if (currentJournal != null) {
                currentJournal.close();
            }
        } catch (IOException exception) {
            throw DiskFaults.translate("can't close the journal in " + storage.location(), exception);
        }
    }

    /**
     * Returns the index of the first journal from which on no number is missing. Journals are deleted in order, so that
     * those before a missing one were deleted too, and came back at a power loss. The snapshot covers their entries,
     * which later journals may have replaced.
     */
    private static int indexAfterLastGap(List<String> journals) {
        int first = Math.max(0, journals.size() - 1);
        while (first > 0
                && numberOf(journals.get(first - 1), JOURNAL_PREFIX)
                        == numberOf(journals.get(first), JOURNAL_PREFIX) - 1) {
            first--;
        }
        return first;
    }

    private void replayJournal(String name, boolean last, JournalReplay replay) throws IOException {
        AtomicLong highest = new AtomicLong();
        long length = JournalCodec.read(storage.read(name), last, name, record -> {
            if (!record.replica().equals(identity.replica())) {
                throw new RadishspurException(
                        ErrorCode.FOREIGN_DATA, name + " was written by replica " + record.replica());
            }
            highest.accumulateAndGet(replay.apply(record), Math::max);
        });
        if (last) {
            currentJournal = new JournalWriter(storage, name, length, highest.get());
        } else {
            closedJournals.add(new ClosedJournal(name, highest.get()));
        }
    }

    /** Closes the current journal and creates the next one; has no effect if that one can't be created. */
    private void rollJournal() throws IOException {
        JournalWriter closed = currentJournal;
        long number = numberOf(closed.name(), JOURNAL_PREFIX);
        currentJournal = new JournalWriter(storage, nameOf(JOURNAL_PREFIX, number + 1), 0, 0);
        closedJournals.add(new ClosedJournal(closed.name(), closed.highestIndex()));
        closed.close();
    }

    private void writeSnapshot(Snapshot snapshot) throws IOException {
        byte[] payload = MessagePack.INSTANCE.encode(snapshot);
        java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
        checksum.update(payload);
        ByteBuffer file = ByteBuffer.allocate(Long.BYTES + payload.length);
        file.putLong(checksum.getValue()).put(payload);
        storage.writeAtomically(nameOf(SNAPSHOT_PREFIX, snapshot.lastIndex()), file.array());
    }

    private Snapshot readSnapshot(long index) throws IOException {
        String name = nameOf(SNAPSHOT_PREFIX, index);
        ByteBuffer file = ByteBuffer.wrap(readSnapshotFile(name));
        java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
        if (file.remaining() < Long.BYTES) {
            throw new RadishspurException(ErrorCode.LOG_CORRUPT, name + " is truncated");
        }
        long expected = file.getLong();
        byte[] payload = new byte[file.remaining()];
        file.get(payload);
        checksum.update(payload);
        if (checksum.getValue() != expected) {
            throw new RadishspurException(ErrorCode.LOG_CORRUPT, name + " is damaged");
        }
        return MessagePack.INSTANCE.decode(payload, Snapshot.class);
    }

    private byte[] readSnapshotFile(String name) throws IOException {
        try {
            return storage.read(name);
        } catch (NoSuchFileException exception) {
            throw new RadishspurException(ErrorCode.LOG_CORRUPT, name + " is missing", exception);
        }
    }

    private void deleteCoveredFiles(Snapshot snapshot) {
        try {
            while (!closedJournals.isEmpty() && closedJournals.peek().highestIndex() <= snapshot.lastIndex()) {
                storage.delete(closedJournals.remove().name());
            }
            List<String> earlier = listSnapshots().stream()
                    .filter(name -> numberOf(name, SNAPSHOT_PREFIX) < snapshot.lastIndex())
                    .toList();
            for (String name : earlier.subList(0, Math.max(0, earlier.size() - KEPT_EARLIER_SNAPSHOTS))) {
                storage.delete(name);
            }
        } catch (IOException exception) {
            throw DiskFaults.translate("can't delete old files in " + storage.location(), exception);
        }
    }

    /** Deletes the snapshots of earlier processes that are incomplete or never took effect. */
    private void deleteUnusedSnapshots(long indexInEffect) throws IOException {
        for (String name : storage.list(SNAPSHOT_PREFIX)) {
            if (name.endsWith(Storage.TEMPORARY_SUFFIX)) {
                storage.delete(name);
            }
        }
        for (String name : listSnapshots()) {
            if (numberOf(name, SNAPSHOT_PREFIX) > indexInEffect) {
                storage.delete(name);
            }
        }
    }

    /** Returns the names of the complete snapshots, without copies that an operator has made. */
    private List<String> listSnapshots() throws IOException {
        return storage.list(SNAPSHOT_PREFIX).stream()
                .filter(name -> name.length() == SNAPSHOT_PREFIX.length() + NUMBER_DIGITS)
                .toList();
    }

    private static String nameOf(String prefix, long number) {
        String digits = Long.toString(number);
        return prefix + "0".repeat(NUMBER_DIGITS - digits.length()) + digits;
    }

    private static long numberOf(String name, String prefix) {
        return Long.parseLong(name.substring(prefix.length()));
    }

    /**
     * Describes an earlier journal, to which nothing is appended any more.
     *
     * @param name the name of the file.
     * @param highestIndex the highest index of its entries, or 0 if it has none.
     */
    private record ClosedJournal(String name, long highestIndex) {}
}
