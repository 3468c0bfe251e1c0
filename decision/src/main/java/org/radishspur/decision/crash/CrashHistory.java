package org.radishspur.decision.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Holds the ends of upstreams at which requests with one signature were in flight. An end is open until a request with the
 * signature is answered after it.
 */
final class CrashHistory {
    /** The maximum number of ends; more don't change any decision. */
    private static final int MAX_ENDS = 16;

    private final long signature;
    private final Map<Integer, End> ends = new LinkedHashMap<>();

    CrashHistory(long signature) {
        this.signature = signature;
    }

    long signature() {
        return signature;
    }

    /** Returns an end, null if it isn't known. */
    End end(int upstream) {
        return ends.get(upstream);
    }

    Map<Integer, End> ends() {
        return ends;
    }

    void add(int upstream, End end) {
        ends.put(upstream, end);
        if (ends.size() > MAX_ENDS) {
            Iterator<Integer> oldest = ends.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Removes the ends from before a time, and returns whether none is left. */
    boolean removeBefore(long time) {
        ends.values().removeIf(end -> end.endedAt <= time);
        return ends.isEmpty();
    }

    /** Returns whether a request with the signature was answered some time before the ends. */
    boolean isAnsweredBefore() {
        return ends.values().stream().anyMatch(end -> end.answeredBefore);
    }

    /** Returns whether the signature is that of a part, which requests that aren't alike may share. */
    boolean isPart() {
        return ends.values().stream().anyMatch(end -> end.part);
    }

    int openCount() {
        return (int) ends.values().stream().filter(End::isOpen).count();
    }

    /** Returns the upstreams of the open ends but for those of other histories. */
    Set<Integer> openBut(Collection<CrashHistory> others) {
        Set<Integer> open = new HashSet<>(openUpstreams());
        others.forEach(other -> open.removeAll(other.openUpstreams()));
        return open;
    }

    /** Returns the upstreams of the open ends. */
    Set<Integer> openUpstreams() {
        return ends.entrySet().stream()
                .filter(entry -> entry.getValue().isOpen())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the open ends in the order of their times. */
    List<End> openEnds() {
        return ends.values().stream()
                .filter(End::isOpen)
                .sorted(Comparator.comparingLong(End::endedAt))
                .toList();
    }

    /** Holds one end. */
    static final class End {
        private final long endedAt;
        private final int pool;
        private final boolean part;
        private boolean cleared;
        private boolean answeredBefore;
        private long position;

        End(CrashNote note, long endedAt, long position) {
            this.endedAt = endedAt;
            this.pool = note.pool();
            this.part = note.part();
            this.cleared = note.cleared();
            this.answeredBefore = note.answeredBefore();
            this.position = position;
        }

        long endedAt() {
            return endedAt;
        }

        int pool() {
            return pool;
        }

        boolean isOpen() {
            return !cleared;
        }

        /** Returns the position of the latest change. */
        long position() {
            return position;
        }

        /** Adds what a note states, and returns whether that is new. */
        boolean add(boolean noteCleared, boolean noteAnsweredBefore, long newPosition) {
            boolean changed = noteCleared && !cleared || noteAnsweredBefore && !answeredBefore;
            cleared |= noteCleared;
            answeredBefore |= noteAnsweredBefore;
            position = changed ? newPosition : position;
            return changed;
        }

        CrashNote toNote(long signature, int upstream, long now) {
            return new CrashNote(signature, upstream, cleared, now - endedAt, answeredBefore, pool, part);
        }
    }
}
