package org.radishspur.decision.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Counts for each signature of requests the upstreams that ended while such a request was in flight there.
 *
 * <p>Every request that is in flight when an upstream ends is noted with all of its signatures, though at most one is the
 * cause. A request that is answered to the end anywhere clears its signatures. {@link CrashAttribution} decides which
 * signatures are suspects.
 *
 * <p>Each process has a ledger. They exchange notes, which may arrive several times and in any order; a note that
 * clears an end outweighs one that states it.
 */
public final class CrashLedger {
    /** How long the end of an upstream counts, in milliseconds; longer than the time between trials of a suspect. */
    static final long RETENTION_MILLIS = 1_800_000;

    /** The time within which requests that lose the same upstream have been in flight at the same end of it. */
    private static final long SAME_END_MILLIS = 2_000;

    /** The maximum number of signatures; those with the fewest open ends are forgotten first. */
    static final int MAX_SIGNATURES = 2_000;

    /** The share of the signatures that are forgotten at once, so that a full ledger isn't sorted for each note. */
    private static final double FORGOTTEN_SHARE = 0.1;

    /** The maximum number of notes in one message, which keeps a message within some ten kilobytes. */
    static final int MAX_NOTES_PER_MESSAGE = 400;

    private final Map<Long, CrashHistory> histories = new HashMap<>();
    private long latestPosition;

    /** Creates an empty ledger. */
    public CrashLedger() {}

    /**
     * Returns whether nothing is noted, so that no request needs to be looked up.
     *
     * @return whether the ledger is empty.
     */
    public boolean isEmpty() {
        return histories.isEmpty();
    }

    /**
     * Returns the position of the latest change.
     *
     * @return the position, to pass to {@link #changesSince}.
     */
    public long latestPosition() {
        return latestPosition;
    }

    Collection<CrashHistory> histories() {
        return histories.values();
    }

    Optional<CrashHistory> history(long signature) {
        return Optional.ofNullable(histories.get(signature));
    }

    /** Records that a request with a signature was in flight when an upstream ended. */
    void recordCrash(long signature, boolean part, int upstream, boolean answeredBefore, int pool, long now) {
        CrashHistory known = histories.getOrDefault(signature, new CrashHistory(signature));
        int end = upstream;
        while (known.end(end) != null && now - known.end(end).endedAt() > SAME_END_MILLIS) {
            // It was started again, and the host list doesn't show it yet. All processes count on from the hash code.
            end++;
        }
        merge(new CrashNote(signature, end, false, 0, answeredBefore, pool, part), now);
        forgetWeakest();
    }

    /** Clears a signature, and returns whether it had open ends. */
    boolean recordCompletion(long signature) {
        boolean changed = false;
        if (histories.containsKey(signature)) {
            for (CrashHistory.End end : histories.get(signature).ends().values()) {
                changed |= changeEnd(end, true, false);
            }
        }
        return changed;
    }

    /** Records that a request with a signature was answered some time before its ends, and returns whether that is new. */
    boolean recordAnsweredBefore(long signature) {
        CrashHistory known = histories.get(signature);
        return known != null
                && !known.isAnsweredBefore()
                && changeEnd(known.ends().values().iterator().next(), false, true);
    }

    private boolean changeEnd(CrashHistory.End end, boolean cleared, boolean answeredBefore) {
        boolean changed = end.add(cleared, answeredBefore, latestPosition + 1);
        latestPosition += changed ? 1 : 0;
        return changed;
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
            forgetWeakest();
        }
    }

    /** Removes the ends that don't count any more. */
    void removeExpired(long now) {
        boolean removed = histories.values().removeIf(history -> history.removeBefore(now - RETENTION_MILLIS));
        latestPosition += removed ? 1 : 0;
    }

    private void merge(CrashNote note, long endedAt) {
        CrashHistory history = histories.computeIfAbsent(note.signature(), CrashHistory::new);
        CrashHistory.End known = history.end(note.upstream());
        if (known != null) {
            changeEnd(known, note.cleared(), note.answeredBefore());
        } else {
            history.add(note.upstream(), new CrashHistory.End(note, endedAt, ++latestPosition));
        }
    }

    private void forgetWeakest() {
        if (histories.size() > MAX_SIGNATURES) {
            List<CrashHistory> strongest = strongestFirst();
            strongest
                    .subList((int) (MAX_SIGNATURES * (1 - FORGOTTEN_SHARE)), strongest.size())
                    .forEach(history -> histories.remove(history.signature()));
        }
    }

    /** Returns the histories, those with most open ends first, and the latest first of those with the same number. */
    private List<CrashHistory> strongestFirst() {
        record Ranked(CrashHistory history, int openCount, long position) {}

        return histories.values().stream()
                .map(history -> new Ranked(
                        history,
                        history.openCount(),
                        history.ends().values().stream()
                                .mapToLong(CrashHistory.End::position)
                                .max()
                                .orElse(0)))
                .sorted(Comparator.comparingInt(Ranked::openCount)
                        .thenComparingLong(Ranked::position)
                        .reversed())
                .map(Ranked::history)
                .toList();
    }

    /**
     * Returns the notes for a ledger that may have none; if not all fit into one message, those on the signatures with
     * most open ends.
     *
     * @param now the current time in milliseconds.
     * @return the notes.
     */
    public List<CrashNote> strongestNotes(long now) {
        return strongestFirst().stream()
                .flatMap(history -> history.ends().entrySet().stream()
                        .map(end -> end.getValue().toNote(history.signature(), end.getKey(), now)))
                .limit(MAX_NOTES_PER_MESSAGE)
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
        histories
                .values()
                .forEach(history -> history.ends().forEach((upstream, end) -> {
                    if (end.position() > position) {
                        notes.add(new PositionedNote(end.position(), end.toNote(history.signature(), upstream, now)));
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
}
