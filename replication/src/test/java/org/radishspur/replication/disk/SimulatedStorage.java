package org.radishspur.replication.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Keeps files in memory, stops the process at any operation, and forgets at a power loss what wasn't synced.
 *
 * <p>At a power loss, each change of the folder since its last sync is kept or lost independently of the others, and
 * each block of a file that was written since the file's last sync is present, missing or filled with zeros.
 */
final class SimulatedStorage implements Storage {
    private static final int SMALLEST_BLOCK_BYTES = 4;
    private static final int BLOCK_SIZES = 8;

    private final Random random;
    private Map<String, Content> files = new TreeMap<>();
    private Map<String, Content> durableFiles = new HashMap<>();
    private List<FolderChange> unsyncedChanges = new ArrayList<>();
    private long operationsUntilStop = Long.MAX_VALUE;
    private long operationsUntilFull = Long.MAX_VALUE;
    private int operationsWhileFull;
    private long operationCount;
    private int generation;

    SimulatedStorage(Random random) {
        this.random = random;
    }

    /** Stops the process in place of an operation, and at all later ones until the process starts again. */
    void stopAfter(long operations) {
        operationsUntilStop = operations;
    }

    /** Lets operations that need space fail after a number of operations. */
    void fillAfter(long operations, int failures) {
        operationsUntilFull = operations;
        operationsWhileFull = failures;
    }

    long operationCount() {
        return operationCount;
    }

    /** Ends the process: what it wrote stays, synced or not. */
    void kill() {
        generation++;
        operationsUntilStop = Long.MAX_VALUE;
        operationsUntilFull = Long.MAX_VALUE;
        operationsWhileFull = 0;
    }

    /** Ends the process and forgets, at random, what wasn't synced. */
    void losePower() {
        kill();
        for (FolderChange change : unsyncedChanges) {
            if (random.nextBoolean()) {
                change.applyTo(durableFiles);
            }
        }
        unsyncedChanges = new ArrayList<>();
        durableFiles.values().stream().distinct().forEach(content -> content.losePower(random));
        files = new TreeMap<>(durableFiles);
    }

    /** Ends the process and forgets all that wasn't synced. */
    void loseAllUnsynced() {
        kill();
        unsyncedChanges = new ArrayList<>();
        durableFiles.values().forEach(Content::loseAllUnsynced);
        files = new TreeMap<>(durableFiles);
    }

    /** Replaces the content of a file, as another program would, and syncs it. */
    void replace(String name, byte[] bytes) {
        Content content = files.get(name);
        content.truncate(0);
        content.append(bytes, bytes.length);
        content.sync();
    }

    @Override
    public String location() {
        return "memory";
    }

    @Override
    public List<String> list(String prefix) {
        return files.keySet().stream().filter(name -> name.startsWith(prefix)).toList();
    }

    @Override
    public byte[] read(String name) throws IOException {
        Content content = files.get(name);
        if (content == null) {
            throw new NoSuchFileException(name);
        }
        return Arrays.copyOf(content.bytes, content.length);
    }

    @Override
    public AppendFile open(String name) throws IOException {
        if (!files.containsKey(name)) {
            begin(true);
            change(new FolderChange(null, name, new Content()));
        }
        return new SimulatedFile(files.get(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        begin(true);
        change(new FolderChange(from, to, files.get(from)));
    }

    @Override
    public void delete(String name) throws IOException {
        begin(false);
        change(new FolderChange(name, null, null));
    }

    @Override
    public void sync() throws IOException {
        begin(true);
        unsyncedChanges = new ArrayList<>();
        durableFiles = new HashMap<>(files);
    }

    private void change(FolderChange change) {
        change.applyTo(files);
        unsyncedChanges.add(change);
    }

    private void begin(boolean needsSpace) throws IOException {
        operationCount++;
        if (isStopping()) {
            throw new ProcessStopped();
        }
        if (needsSpace && isFull()) {
            throw new IOException("No space left on device");
        }
    }

    private boolean isStopping() {
        return --operationsUntilStop < 0;
    }

    private boolean isFull() {
        return --operationsUntilFull < 0 && operationsWhileFull-- > 0;
    }

    /**
     * Ends the process at an operation.
     */
    static final class ProcessStopped extends Error {
        private static final long serialVersionUID = 1L;
    }

    /**
     * Creates, renames or deletes a file.
     *
     * @param from the name that the file loses, or null.
     * @param to the name that the file gets, or null.
     * @param content the file, or null for a deletion.
     */
    private record FolderChange(String from, String to, Content content) {
        void applyTo(Map<String, Content> names) {
            if (from != null) {
                names.remove(from);
            }
            if (to != null) {
                names.put(to, content);
            }
        }
    }

    /**
     * Holds what a process sees of a file, and what is durable of it. Both begin with the same bytes.
     */
    private static final class Content {
        private byte[] bytes = new byte[0];
        private int length;
        private int unchanged;
        private byte[] durableTail = new byte[0];

        void append(byte[] appended, int count) {
            if (bytes.length < length + count) {
                bytes = Arrays.copyOf(bytes, Math.max(length + count, bytes.length * 2));
            }
            System.arraycopy(appended, 0, bytes, length, count);
            length += count;
        }

        void truncate(int newLength) {
            if (newLength < unchanged) {
                byte[] tail = Arrays.copyOfRange(bytes, newLength, unchanged + durableTail.length);
                System.arraycopy(durableTail, 0, tail, unchanged - newLength, durableTail.length);
                durableTail = tail;
                unchanged = newLength;
            }
            length = Math.min(length, newLength);
        }

        void sync() {
            unchanged = length;
            durableTail = new byte[0];
        }

        void loseAllUnsynced() {
            bytes = Arrays.copyOf(bytes, unchanged + durableTail.length);
            System.arraycopy(durableTail, 0, bytes, unchanged, durableTail.length);
            length = bytes.length;
            sync();
        }

        void losePower(Random random) {
            int durableLength = unchanged + durableTail.length;
            int longest = Math.max(length, durableLength);
            int newLength =
                    switch (random.nextInt(3)) {
                        case 0 -> length;
                        case 1 -> durableLength;
                        default -> unchanged + random.nextInt(longest - unchanged + 1);
                    };
            boolean mixed = random.nextBoolean();
            // Blocks smaller than those of disks end within a header more often.
            int blockBytes = SMALLEST_BLOCK_BYTES << random.nextInt(BLOCK_SIZES);
            boolean present = random.nextBoolean();
            byte[] result = Arrays.copyOf(bytes, newLength);
            for (int position = unchanged; position < newLength; position++) {
                boolean atBlock = position == unchanged || position % blockBytes == 0;
                present = mixed && atBlock ? random.nextBoolean() : present;
                if (present) {
                    result[position] = position < length ? bytes[position] : 0;
                } else {
                    result[position] = position < durableLength ? durableTail[position - unchanged] : 0;
                }
            }
            bytes = result;
            length = newLength;
            sync();
        }
    }

    /**
     * Appends to a file until the process ends.
     */
    private final class SimulatedFile implements AppendFile {
        private final Content content;
        private final int openedIn = generation;
        private boolean closed;

        SimulatedFile(Content content) {
            this.content = content;
        }

        @Override
        public void append(ByteBuffer bytes) throws IOException {
            check();
            operationCount++;
            byte[] appended = new byte[bytes.remaining()];
            bytes.get(appended);
            if (isStopping()) {
                content.append(appended, operationsUntilStop == -1 ? random.nextInt(appended.length + 1) : 0);
                throw new ProcessStopped();
            }
            if (isFull()) {
                content.append(appended, random.nextInt(appended.length + 1));
                throw new IOException("No space left on device");
            }
            content.append(appended, appended.length);
        }

        @Override
        public void force() throws IOException {
            check();
            begin(true);
            content.sync();
        }

        @Override
        public void truncate(long length) throws IOException {
            check();
            begin(false);
            content.truncate((int) length);
        }

        @Override
        public void close() {
            closed = true;
        }

        private void check() throws IOException {
            if (closed) {
                throw new java.nio.channels.ClosedChannelException();
            }
            if (openedIn != generation) {
                throw new ProcessStopped();
            }
        }
    }
}
