package org.radishspur.replication.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Holds the part of the log that has not been discarded, and the configurations that it contains.
 */
final class RaftLog {
    private final List<LogEntry> entries = new ArrayList<>();

    /** The size of all entries up to each one, counted from the first entry that this object has held. */
    private final List<Long> sizes = new ArrayList<>();

    private final TreeMap<Long, Configuration> configurations = new TreeMap<>();
    private Snapshot snapshot;
    private long baseIndex;
    private long baseTerm;
    private long baseSize;

    RaftLog(Snapshot snapshot, List<LogEntry> recovered) {
        this.snapshot = snapshot;
        this.baseIndex = snapshot.lastIndex();
        this.baseTerm = snapshot.lastTerm();
        configurations.put(baseIndex, snapshot.configuration());
        recovered.forEach(this::append);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long firstIndex() {
        return baseIndex + 1;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    /** Returns the term of an entry, or -1 where the log doesn't contain it. */
    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > lastIndex() ? -1 : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns some entries from an index on, at least one if there is any. */
    List<LogEntry> slice(long from, int limit, long maximumBytes) {
        int begin = (int) (from - baseIndex - 1);
        int end = Math.min(entries.size(), begin + limit);
        while (end > begin + 1 && bytesBetween(from - 1, baseIndex + end) > maximumBytes) {
            end--;
        }
        return begin >= end ? List.of() : List.copyOf(entries.subList(begin, end));
    }

    /** Returns the size of the entries in memory. */
    long bytes() {
        return bytesBetween(baseIndex, lastIndex());
    }

    /** Returns the size of the entries after one index and up to another one, as far as the log contains them. */
    long bytesBetween(long after, long upTo) {
        return sizeUpTo(Math.min(upTo, lastIndex())) - sizeUpTo(Math.min(after, lastIndex()));
    }

    private long sizeUpTo(long index) {
        return index <= baseIndex ? baseSize : sizes.get((int) (index - baseIndex - 1));
    }

    /** Returns the lowest index such that the entries after it and up to another index have a size at most. */
    long firstIndexWithin(long upTo, long maximumBytes) {
        long index = upTo;
        while (index > baseIndex && bytesBetween(index - 1, upTo) <= maximumBytes) {
            index--;
        }
        return index;
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "can't append entry " + entry.index() + " to a log that ends at " + lastIndex());
        }
        sizes.add(sizeUpTo(lastIndex()) + entry.size());
        entries.add(entry);
        if (entry.payload() instanceof LogEntry.Payload.ConfigurationChange change) {
            configurations.put(entry.index(), change.configuration());
        }
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        sizes.subList((int) (index - baseIndex - 1), sizes.size()).clear();
        configurations.tailMap(index, true).clear();
    }

    Configuration configuration() {
        return configurations.lastEntry().getValue();
    }

    long configurationIndex() {
        return configurations.lastKey();
    }

    Configuration configurationAt(long index) {
        return configurations.floorEntry(index).getValue();
    }

    /**
     * Replaces the snapshot with a newer one of this replica and discards the entries up to an index that it covers.
     */
    void compact(Snapshot newSnapshot, long discardUpTo) {
        snapshot = newSnapshot;
        long newBaseIndex = Math.max(baseIndex, Math.min(newSnapshot.lastIndex(), discardUpTo));
        long newBaseTerm = termAt(newBaseIndex);
        baseSize = sizeUpTo(newBaseIndex);
        entries.subList(0, (int) (newBaseIndex - baseIndex)).clear();
        sizes.subList(0, (int) (newBaseIndex - baseIndex)).clear();
        Configuration baseConfiguration = configurationAt(newBaseIndex);
        configurations.headMap(newBaseIndex, true).clear();
        configurations.put(newBaseIndex, baseConfiguration);
        baseIndex = newBaseIndex;
        baseTerm = newBaseTerm;
    }

    /** Installs a snapshot from the leader; the entries after it are kept only if the log contains its last entry. */
    void install(Snapshot received) {
        boolean continues = termAt(received.lastIndex()) == received.lastTerm();
        List<LogEntry> kept =
                continues ? slice(received.lastIndex() + 1, Integer.MAX_VALUE / 2, Long.MAX_VALUE) : List.of();
        entries.clear();
        sizes.clear();
        baseSize = 0;
        configurations.clear();
        snapshot = received;
        baseIndex = received.lastIndex();
        baseTerm = received.lastTerm();
        configurations.put(baseIndex, received.configuration());
        kept.forEach(this::append);
    }
}
