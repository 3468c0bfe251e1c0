package org.radishspur.decision.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Attributes the ends of upstreams to signatures.
 *
 * <p>A signature that was never answered is a suspect from its third open end. One that was answered before needs more
 * ends, as many frequent signatures are in flight when several upstreams end at once and none is left to answer. An end
 * that one suspect explains doesn't count against signatures that have fewer ends: a frequent sound part is present at
 * the ends that another part causes, but not the other way round.
 */
final class CrashAttribution {
    /** The number of open ends from which a signature that was never answered is a suspect. */
    static final int MIN_ENDS = 3;

    /** The number of open ends from which a signature that was answered before may be a suspect. */
    static final int MIN_ENDS_IF_ANSWERED_BEFORE = 5;

    private final Collection<CrashHistory> histories;
    private final List<CrashHistory> neverAnswered = new ArrayList<>();
    private final Map<Long, Suspect> suspects = new HashMap<>();

    /** Attributes the open ends of some histories. */
    CrashAttribution(Collection<CrashHistory> histories) {
        this.histories = histories;
        findNeverAnswered();
        neverAnswered.forEach(history -> addSuspect(history, MIN_ENDS, false));
        findAnsweredBefore();
    }

    /** Returns the suspects by their signatures. */
    Map<Long, Suspect> suspects() {
        return suspects;
    }

    /** Returns how many open ends of a signature no suspect explains. */
    int unexplainedEnds(CrashHistory history) {
        return history.openBut(neverAnswered).size();
    }

    private void findNeverAnswered() {
        List<CrashHistory> candidates = histories.stream()
                .filter(history -> history.openCount() >= MIN_ENDS && !history.isAnsweredBefore())
                .sorted(Comparator.comparingInt(CrashHistory::openCount).reversed())
                .toList();
        for (CrashHistory candidate : candidates) {
            List<CrashHistory> stronger = neverAnswered.stream()
                    .filter(suspect -> suspect.openCount() > candidate.openCount())
                    .toList();
            if (candidate.openBut(stronger).size() >= MIN_ENDS) {
                neverAnswered.add(candidate);
            }
        }
    }

    private void findAnsweredBefore() {
        for (CrashHistory history : histories) {
            boolean candidate = history.openCount() >= MIN_ENDS_IF_ANSWERED_BEFORE && history.isAnsweredBefore();
            if (candidate && unexplainedEnds(history) >= MIN_ENDS_IF_ANSWERED_BEFORE) {
                addSuspect(history, MIN_ENDS_IF_ANSWERED_BEFORE, true);
            }
        }
    }

    private void addSuspect(CrashHistory history, int minEnds, boolean answeredBefore) {
        List<CrashHistory> others =
                neverAnswered.stream().filter(other -> other != history).toList();
        Set<Integer> own = history.openBut(others);
        List<CrashHistory.End> ends = history.openEnds();
        CrashHistory.End latest = ends.get(ends.size() - 1);
        suspects.put(
                history.signature(),
                new Suspect(
                        history.signature(),
                        ends.size(),
                        ends.get(0).endedAt(),
                        ends.get(minEnds - 1).endedAt(),
                        latest.endedAt(),
                        latest.pool(),
                        own.size() >= minEnds,
                        answeredBefore));
    }
}
