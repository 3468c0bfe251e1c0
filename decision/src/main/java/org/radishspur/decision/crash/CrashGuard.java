package org.radishspur.decision.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Decides at an entry which requests are refused because a signature of theirs ends upstreams, and which one may run as
 * a trial.
 */
public final class CrashGuard {
    /** The number of answers of a pool that show that the ends of a suspect aren't due to the pool. */
    private static final int MIN_ANSWERS = 3;

    /** The number of unexplained open ends from which a request isn't sent to another upstream. */
    private static final int MAX_ENDS_TO_RETRY = 1;

    /** The time after which a trial counts as ended even if nobody has reported its end, in milliseconds. */
    private static final long MAX_TRIAL_MILLIS = 30_000;

    private final CrashLedger ledger;
    private final AnswerMemory answers = new AnswerMemory();
    private final Map<Long, Long> runningTrials = new HashMap<>();
    private final Map<Long, Long> knownSince = new HashMap<>();
    private final Map<Integer, Set<Long>> signaturesBeingChecked = new HashMap<>();
    private final long owner;
    private int processes = 1;
    private CrashAttribution attribution = new CrashAttribution(List.of());
    private long attributedPosition;

    /**
     * Creates a guard.
     *
     * @param ledger the ledger of the same process.
     * @param owner identifies the process, so that its trials don't coincide with those of others.
     */
    public CrashGuard(CrashLedger ledger, long owner) {
        this.ledger = ledger;
        this.owner = owner;
    }

    /**
     * Sets how many processes try suspects, which come one after the other.
     *
     * @param count the number of processes.
     */
    public void setProcesses(int count) {
        processes = count;
    }

    /**
     * Returns whether nothing is noted, so that no request needs to be looked up.
     *
     * @return whether the ledger is empty.
     */
    public boolean isIdle() {
        return ledger.isEmpty();
    }

    /**
     * Records that a request was in flight when an upstream ended.
     *
     * @param request the signatures of the request.
     * @param pool the name of the upstream's pool.
     * @param upstream the hash code of the upstream's run.
     * @param now the current time in milliseconds.
     */
    public void recordCrash(RequestSignatures request, String pool, int upstream, long now) {
        ledger.removeExpired(now);
        ledger.recordCrash(request.content(), false, upstream, false, pool.hashCode(), now);
        for (long part : request.parts()) {
            ledger.recordCrash(part, true, upstream, answers.isAnswered(part, now), pool.hashCode(), now);
        }
    }

    /**
     * Records that an upstream is being checked because a request has lost its connection to it. Until the check ends,
     * {@link #admit} treats the upstream as possibly ended by the request, because a check may take longer than a second on
     * a busy host or one that is cut off.
     *
     * @param request the signatures of the request.
     * @param upstream the hash code of the upstream's run.
     */
    public void beginCheck(RequestSignatures request, int upstream) {
        signaturesBeingChecked.computeIfAbsent(upstream, key -> new HashSet<>()).addAll(request.all());
    }

    /**
     * Records that it is known whether an upstream has ended, or that it is not checked any more.
     *
     * @param upstream the hash code of the upstream's run.
     */
    public void endCheck(int upstream) {
        signaturesBeingChecked.remove(upstream);
    }

    /**
     * Returns whether any upstream is being checked.
     *
     * @return whether a check is in progress.
     */
    public boolean isChecking() {
        return !signaturesBeingChecked.isEmpty();
    }

    /**
     * Returns the upstreams that have ended while requests with a suspected part were in flight. The part is likely to be
     * the cause, rather than the links to these upstreams. A content isn't enough: one request that is sent on over broken
     * links loses several upstreams.
     *
     * @param now the current time in milliseconds.
     * @return the hash codes of the runs of the upstreams.
     */
    public Set<Integer> upstreamsEndedByParts(long now) {
        return attribution(now).suspects().values().stream()
                .filter(suspect -> !suspect.answeredBefore())
                .flatMap(suspect -> ledger.history(suspect.signature()).stream())
                .filter(CrashHistory::isPart)
                .flatMap(history -> history.openUpstreams().stream())
                .collect(Collectors.toSet());
    }

    /**
     * Records that a request was answered to the end.
     *
     * @param parts the signatures of its shared parts.
     * @param pool the name of the pool that answered.
     * @param now the current time in milliseconds.
     */
    public void recordAnswer(List<Long> parts, String pool, long now) {
        answers.recordAnswer(parts, pool.hashCode(), now);
    }

    /**
     * Clears the signatures of a request that was answered to the end.
     *
     * @param request the signatures.
     * @return whether any of them had open ends.
     */
    public boolean clear(RequestSignatures request) {
        boolean changed = false;
        for (long signature : request.all()) {
            changed |= ledger.recordCompletion(signature);
        }
        return changed;
    }

    /**
     * Applies notes of another process, and adds to them what was answered here before.
     *
     * @param notes the notes.
     * @param now the current time in milliseconds.
     * @return whether something was added.
     */
    public boolean merge(Collection<CrashNote> notes, long now) {
        ledger.merge(notes, now);
        boolean added = false;
        for (CrashNote note : notes) {
            if (!note.answeredBefore() && answers.isAnswered(note.signature(), now)) {
                added |= ledger.recordAnsweredBefore(note.signature());
            }
        }
        return added;
    }

    /**
     * Decides whether a request may run.
     *
     * @param request the signatures of the request.
     * @param now the current time in milliseconds.
     * @return the decision.
     */
    public Admission admit(RequestSignatures request, long now) {
        Map<Long, Suspect> suspects = attribution(now).suspects();
        List<Suspect> present = request.all().stream()
                .filter(suspects::containsKey)
                .map(suspects::get)
                .filter(this::isConfirmed)
                .toList();
        if (present.isEmpty()) {
            return admitDuringChecks(request, now);
        }
        boolean mixed = present.size() > 1 || hasOtherOpenEnds(request, present.get(0));
        Admission admission = Admission.ALLOWED;
        for (Suspect suspect : present) {
            long waitMillis = dueAt(suspect, mixed) - now;
            // A trial that has lost its connection has failed unless the check shows that its upstream runs.
            boolean trialRuns =
                    now - runningTrials.getOrDefault(suspect.signature(), Long.MIN_VALUE / 2) < MAX_TRIAL_MILLIS;
            if (trialRuns || !upstreamsBeingChecked(suspect.signature()).isEmpty()) {
                waitMillis = Math.max(waitMillis, TrialPolicy.EARLY_TRIAL_MILLIS);
            }
            Admission.Verdict verdict = waitMillis > 0 ? Admission.Verdict.REFUSED : Admission.Verdict.TRIAL;
            if (admission == Admission.ALLOWED || waitMillis > admission.retryAfterMillis()) {
                admission = new Admission(verdict, Math.max(0, waitMillis), suspect.signature(), suspect.ends());
            }
        }
        return admission;
    }

    /**
     * Refuses a request with a part that was never answered and will be a suspect if the upstreams that are being checked
     * have ended; otherwise each request until the end of the checks could end one more upstream.
     */
    private Admission admitDuringChecks(RequestSignatures request, long now) {
        for (long part : request.parts()) {
            Set<Integer> checked = upstreamsBeingChecked(part);
            if (!checked.isEmpty() && !isAnsweredBefore(part, now)) {
                ledger.history(part).ifPresent(history -> checked.addAll(history.openUpstreams()));
                if (checked.size() >= CrashAttribution.MIN_ENDS) {
                    return new Admission(
                            Admission.Verdict.REFUSED, TrialPolicy.EARLY_TRIAL_MILLIS, part, checked.size());
                }
            }
        }
        return Admission.ALLOWED;
    }

    private Set<Integer> upstreamsBeingChecked(long signature) {
        return signaturesBeingChecked.entrySet().stream()
                .filter(upstream -> upstream.getValue().contains(signature))
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private boolean isAnsweredBefore(long part, long now) {
        return answers.isAnswered(part, now)
                || ledger.history(part).filter(CrashHistory::isAnsweredBefore).isPresent();
    }

    /** Returns whether enough requests without a suspect that was answered before have been answered since its ends. */
    private boolean isConfirmed(Suspect suspect) {
        return !suspect.answeredBefore()
                || answers.hasAnsweredSince(suspect.pool(), AnswerMemory.ANSWERS_PER_POOL, suspect.firstEndAt());
    }

    private boolean isConfirmed(CrashAttribution current, long signature) {
        Suspect suspect = current.suspects().get(signature);
        return suspect != null && isConfirmed(suspect);
    }

    private boolean hasOtherOpenEnds(RequestSignatures request, Suspect suspect) {
        return request.all().stream()
                .filter(signature -> signature != suspect.signature())
                .anyMatch(signature ->
                        ledger.history(signature).map(CrashHistory::openCount).orElse(0) > 0);
    }

    private long dueAt(Suspect suspect, boolean mixed) {
        // An answer to a request with the suspect would have cleared it.
        boolean certain = suspect.sole() && answers.hasAnsweredSince(suspect.pool(), MIN_ANSWERS, suspect.blamedAt());
        return TrialPolicy.INSTANCE.dueAt(
                suspect, knownSince.get(suspect.signature()), certain, mixed, processes, draw(suspect));
    }

    /** Returns a number from 0 to 1 that differs by process, suspect and the number of its ends. */
    private double draw(Suspect suspect) {
        return new SplittableRandom(owner ^ suspect.signature() + suspect.ends()).nextDouble();
    }

    /**
     * Returns whether a request may be sent to another upstream after one has ended under it.
     *
     * @param request the signatures of the request.
     * @param now the current time in milliseconds.
     * @return whether none of its signatures may be the cause of several ends.
     */
    public boolean mayRetry(RequestSignatures request, long now) {
        CrashAttribution current = attribution(now);
        return request.all().stream()
                .noneMatch(signature -> isConfirmed(current, signature)
                        || ledger.history(signature)
                                .filter(history -> !history.isAnsweredBefore())
                                .filter(history -> current.unexplainedEnds(history) > MAX_ENDS_TO_RETRY)
                                .isPresent());
    }

    /**
     * Returns whether a request in flight should be withdrawn, because it has a signature that no other suspect is
     * confused with.
     *
     * @param request the signatures of the request.
     * @param now the current time in milliseconds.
     * @return whether it should.
     */
    public boolean isToBeWithdrawn(RequestSignatures request, long now) {
        Map<Long, Suspect> suspects = attribution(now).suspects();
        return request.all().stream()
                .filter(suspects::containsKey)
                .map(suspects::get)
                .anyMatch(suspect -> suspect.sole() && !suspect.answeredBefore());
    }

    /**
     * Returns whether a suspect explains the end of an upstream.
     *
     * @param upstream the hash code of the upstream's run.
     * @param now the current time in milliseconds.
     * @return whether a request with the suspect was in flight there.
     */
    public boolean isExplained(int upstream, long now) {
        CrashAttribution current = attribution(now);
        return current.suspects().keySet().stream()
                .filter(signature -> isConfirmed(current, signature))
                .flatMap(signature -> ledger.history(signature).stream())
                .anyMatch(history -> history.end(upstream) != null);
    }

    /**
     * Returns the current suspects.
     *
     * @param now the current time in milliseconds.
     * @return the suspects.
     */
    public Collection<Suspect> suspects(long now) {
        return attribution(now).suspects().values();
    }

    /**
     * Records that a request begins to run as a trial; no other one with its suspected signatures does until it has ended.
     *
     * @param request the signatures of the request.
     * @param now the current time in milliseconds.
     */
    public void beginTrial(RequestSignatures request, long now) {
        request.all().forEach(signature -> runningTrials.put(signature, now));
    }

    /**
     * Records that a trial has ended in any way.
     *
     * @param request the signatures of the request.
     */
    public void endTrial(RequestSignatures request) {
        request.all().forEach(runningTrials::remove);
    }

    private CrashAttribution attribution(long now) {
        if (attributedPosition != ledger.latestPosition()) {
            attributedPosition = ledger.latestPosition();
            attribution = new CrashAttribution(ledger.histories());
            knownSince.keySet().retainAll(attribution.suspects().keySet());
            attribution.suspects().keySet().forEach(signature -> knownSince.putIfAbsent(signature, now));
        }
        return attribution;
    }
}
