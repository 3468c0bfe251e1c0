package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts for each request, by its content, the upstreams that ended while it was in flight there, and states which
 * requests to refuse.
 *
 * <p>Every request that is in flight when an upstream ends is noted, though at most one is the cause. A request that is
 * answered to the end anywhere is cleared, so that only one that has never been answered since is refused: a request
 * that ends each upstream never is, and a frequent sound one is within moments.
 *
 * <p>Each process has a ledger. They exchange notes, which may arrive several times and in any order; a note that
 * clears a crash outweighs one that states it.
 */
public final class CrashLedger {
    /** The number of ended upstreams from which a request is refused. */
    static final int CRASHES_TO_REFUSE = 3;

    /**
     * How long the end of an upstream counts, in milliseconds. After that the request is tried again, as the fault of
     * the upstreams may have been fixed.
     */
    static final long RETENTION_MILLIS = 600_000;

    /** The time within which requests that lose the same upstream have been in flight at the same end of it. */
    private static final long SAME_END_MILLIS = 2_000;

    /** The maximum number of requests; the one that was changed least recently is forgotten first. */
    static final int MAX_REQUESTS = 1_000;

    /** The maximum number of ended upstreams for one request; more don't change the decision. */
    private static final int MAX_CRASHES_PER_REQUEST = 8;

    /** The maximum number of notes in one message, which keeps a message within a few kilobytes. */
    static final int MAX_NOTES_PER_MESSAGE = 200;

    private final LinkedHashMap<Long, Map<Integer, Crash>> crashesByRequest = new LinkedHashMap<>();
    private long latestPosition;

    /** Creates an empty ledger. */
    public CrashLedger() {}

    /**
     * Returns whether nothing is noted, so that no request needs to be looked up.
     *
     * @return whether the ledger is empty.
     */
    public boolean isEmpty() {
        return crashesByRequest.isEmpty();
    }

    /**
     * Records that a request was in flight when an upstream ended.
     *
     * @param request the fingerprint of the request.
     * @param upstream the hash code of the upstream's run.
     * @param now the current time in milliseconds.
     */
    public void recordCrash(long request, int upstream, long now) {
        Map<Integer, Crash> known = crashesByRequest.getOrDefault(request, Map.of());
        int end = upstream;
        while (known.containsKey(end) && now - known.get(end).endedAt > SAME_END_MILLIS) {
            // It was started again, and the host list doesn't show it yet. All processes count on from the hash code.
            end++;
        }
        merge(List.of(new CrashNote(request, end, false, 0)), now);
    }

    /**
     * Records that a request was answered to the end, which clears it.
     *
     * @param request the fingerprint of the request.
     * @return whether it had been noted.
     */
    public boolean recordCompletion(long request) {
        Map<Integer, Crash> crashes = crashesByRequest.getOrDefault(request, Map.of());
        boolean changed = crashes.values().stream().anyMatch(crash -> !crash.cleared);
        crashes.values().forEach(this::clear);
        return changed;
    }

    /**
     * Returns for how long a request is refused.
     *
     * @param request the fingerprint of the request.
     * @param now the current time in milliseconds.
     * @return the time in milliseconds after which it may run again; 0 if it may run now.
     */
    public long refusedForMillis(long request, long now) {
        List<Long> recent = crashesByRequest.getOrDefault(request, Map.of()).values().stream()
                .filter(crash -> !crash.cleared && !crash.isExpired(now))
                .map(crash -> crash.endedAt)
                .sorted(Comparator.reverseOrder())
                .toList();
        return recent.size() < CRASHES_TO_REFUSE ? 0 : recent.get(CRASHES_TO_REFUSE - 1) + RETENTION_MILLIS - now;
    }

    /**
     * Applies notes of another ledger.
     *
     * @param notes the notes.
     * @param now the current time in milliseconds.
     */
    public void merge(Collection<CrashNote> notes, long now) {
        for (CrashNote note : notes) {
            long endedAt = now - Math.max(0, note.ageMillis());
            if (endedAt > now - RETENTION_MILLIS) {
                merge(note, endedAt);
            }
        }
        if (!notes.isEmpty()) {
            removeExpired(now);
        }
    }

    private void merge(CrashNote note, long endedAt) {
        Map<Integer, Crash> crashes = crashesByRequest.getOrDefault(note.request(), new LinkedHashMap<>());
        Crash known = crashes.get(note.upstream());
        if (known != null) {
            if (note.cleared()) {
                clear(known);
            }
            return;
        }
        crashes.put(note.upstream(), new Crash(note, endedAt, ++latestPosition));
        removeOldestAbove(crashes, MAX_CRASHES_PER_REQUEST);
        // Inserted again, so that the map stays ordered by the latest change.
        crashesByRequest.remove(note.request());
        crashesByRequest.put(note.request(), crashes);
        removeOldestAbove(crashesByRequest, MAX_REQUESTS);
    }

    private void clear(Crash crash) {
        if (!crash.cleared) {
            crash.cleared = true;
            crash.position = ++latestPosition;
        }
    }

    private static void removeOldestAbove(Map<?, ?> map, int size) {
        if (map.size() > size) {
            Iterator<?> oldest = map.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private void removeExpired(long now) {
        crashesByRequest.values().removeIf(crashes -> {
            crashes.values().removeIf(crash -> crash.isExpired(now));
            return crashes.isEmpty();
        });
    }

    /**
     * Returns the notes for a ledger that may have none, the latest ones if not all fit into one message.
     *
     * @param now the current time in milliseconds.
     * @return the notes.
     */
    public List<CrashNote> latestNotes(long now) {
        List<PositionedNote> notes = notesSince(0, now);
        return notes.stream()
                .skip(Math.max(0, notes.size() - MAX_NOTES_PER_MESSAGE))
                .map(PositionedNote::note)
                .toList();
    }

    /**
     * Returns the notes that have changed after a position, the earliest first, as many as fit into one message.
     *
     * @param position the position up to which the receiver has the notes, 0 for none.
     * @param now the current time in milliseconds.
     * @return the notes, and the position up to which the receiver has them then.
     */
    public Changes changesSince(long position, long now) {
        if (position >= latestPosition) {
            return new Changes(List.of(), latestPosition);
        }
        List<PositionedNote> notes = notesSince(position, now);
        boolean complete = notes.size() <= MAX_NOTES_PER_MESSAGE;
        List<PositionedNote> sent = complete ? notes : notes.subList(0, MAX_NOTES_PER_MESSAGE);
        long reached = complete ? latestPosition : sent.get(sent.size() - 1).position();
        return new Changes(sent.stream().map(PositionedNote::note).toList(), reached);
    }

    /** Returns the notes that have changed after a position, in the order of their changes. */
    private List<PositionedNote> notesSince(long position, long now) {
        List<PositionedNote> notes = new ArrayList<>();
        crashesByRequest.forEach((request, crashes) -> crashes.forEach((upstream, crash) -> {
            if (crash.position > position && !crash.isExpired(now)) {
                CrashNote note = new CrashNote(request, upstream, crash.cleared, now - crash.endedAt);
                notes.add(new PositionedNote(crash.position, note));
            }
        }));
        notes.sort(Comparator.comparingLong(PositionedNote::position));
        return notes;
    }

    /**
     * Holds notes for another ledger.
     *
     * @param notes the notes, at most as many as fit into one message.
     * @param position the position to pass with the next call for the same receiver.
     */
    public record Changes(List<CrashNote> notes, long position) {}

    /**
     * Holds a note with the position of its latest change.
     *
     * @param position the position.
     * @param note the note.
     */
    private record PositionedNote(long position, CrashNote note) {}

    /** Holds the end of one upstream while a request was in flight there. */
    private static final class Crash {
        private final long endedAt;
        private boolean cleared;
        private long position;

        Crash(CrashNote note, long endedAt, long position) {
            this.cleared = note.cleared();
            this.endedAt = endedAt;
            this.position = position;
        }

        boolean isExpired(long now) {
            return now - endedAt >= RETENTION_MILLIS;
        }
    }
}
