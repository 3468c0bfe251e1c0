package org.radishspur.decision.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.radishspur.decision.permit.PermitRequest;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.decision.permit.SchedulerOptions;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.UpstreamRow;

/**
 * The state that the scheduler keeps of one upstream.
 */
public final class UpstreamState {
    /** The time without a measurement after which an idle upstream counts as twice as fast as last measured. */
    private static final double MEASUREMENT_DECAY_MICROS = 5_000_000;

    /** How long a load report counts as evidence that no request waits in the upstream's queue. */
    private static final long REPORT_VALID_MICROS = 6_000_000;

    /** How long a load report may take at most to arrive without being mistaken for load of other sources. */
    private static final long MAX_REPORT_DELAY_MICROS = 2_000_000;

    /** The share of the time for processing a prompt by which each request in flight is delayed. */
    private static final double PREFILL_DELAY_SHARE = 0.3;

    /** By how much each failure in a row raises the factor on the expected time. */
    private static final double PENALTY_PER_FAILURE = 4;

    /** The minimum factor by which the measured time of an idle upstream is lowered. */
    private static final double MIN_DECAY_FACTOR = 0.1;

    private final SchedulerOptions options;
    private final Map<PermitId, InFlightRequest> inFlight = new HashMap<>();
    private final SpeedEstimate speed;
    private final ConcurrencyLimit limit;
    private final PrefixIndex prefixes;
    private final RecentPeak peakInFlight = new RecentPeak(MAX_REPORT_DELAY_MICROS);
    private UpstreamRow row;
    private long incarnation;
    private boolean leaving;
    private Set<String> evacuated = Set.of();
    private boolean removed;
    private final Ejection ejection;
    private int answerCount;
    private int externalLoad;
    private int pendingPrefillTokens;
    private boolean runsExclusive;
    private RefusalBackoff refusals = new RefusalBackoff();
    private int silentCount;
    private long lastMeasuredAt;
    private long lastReportAt;
    private boolean reportedNoneWaiting;

    /**
     * Creates the state of an upstream that has not run a request yet.
     *
     * @param row the upstream's row in the row of the pool.
     * @param engine whether the upstream is a model engine.
     * @param ceiling the maximum number of requests that it may run at once.
     * @param options the scheduling policy.
     */
    public UpstreamState(UpstreamRow row, boolean engine, int ceiling, SchedulerOptions options) {
        this.row = row;
        this.options = options;
        this.ejection = new Ejection(options);
        this.speed = new SpeedEstimate(engine);
        this.limit = new ConcurrencyLimit(options.initialLimit(), ceiling);
        this.prefixes = new PrefixIndex(options.cacheBlocks());
    }

    /**
     * Returns the name of the upstream.
     *
     * @return the name.
     */
    public String name() {
        return row.name();
    }

    /**
     * Returns the row of the upstream.
     *
     * @return the row.
     */
    public UpstreamRow row() {
        return row;
    }

    /**
     * Replaces the row, as after an edit of the pool. A changed row also ends the leaving state.
     *
     * @param changed the new row.
     */
    public void row(UpstreamRow changed) {
        leaving &= changed.equals(row);
        row = changed;
        removed = false;
    }

    /** Records that the pool's row no longer names the upstream. Requests in flight continue. */
    public void remove() {
        removed = true;
    }

    /**
     * Sets the failure domains whose upstreams get no new requests.
     *
     * @param failureDomains the evacuated failure domains.
     */
    public void evacuate(Set<String> failureDomains) {
        evacuated = failureDomains;
    }

    /**
     * Returns whether the upstream may get new requests now. Its limit is not considered.
     *
     * @param now the current time in microseconds.
     * @return whether it is a member of the pool and not ejected.
     */
    public boolean isUsable(long now) {
        return isMember() && now >= ejection.until();
    }

    /**
     * Returns whether the upstream is a member of the pool; a member is usable unless it is ejected.
     *
     * @return whether the pool's row names it, it is not leaving and its failure domain is not evacuated.
     */
    public boolean isMember() {
        return !leaving && !removed && !evacuated.contains(row.failureDomain());
    }

    /**
     * Returns the number of requests that may be dispatched to the upstream now.
     *
     * @param now the current time in microseconds.
     * @return the number of free slots.
     */
    public int freeSlots(long now) {
        if (!isUsable(now) || runsExclusive || millis(now) < refusals.until()) {
            return 0;
        }
        if (refusals.isTesting()) {
            return runningCount() == 0 ? 1 : 0;
        }
        int free = limit.value() - runningCount() - externalLoad;
        // An idle upstream gets a request whatever it last reported: reports arrive only with answers, so a false one
        // would keep the upstream idle for ever.
        return Math.max(runningCount() == 0 ? 1 : 0, free);
    }

    private static long millis(long micros) {
        return TimeUnit.MICROSECONDS.toMillis(micros);
    }

    /**
     * Returns the number of requests that the upstream may run at once.
     *
     * @return the limit.
     */
    public int limit() {
        return limit.value();
    }

    /**
     * Returns how many requests of other sources the upstream was last inferred to run.
     *
     * @return the number of requests.
     */
    public int externalLoad() {
        return externalLoad;
    }

    /**
     * Returns whether a load report was ever received.
     *
     * @return whether there was one.
     */
    public boolean isReported() {
        return lastReportAt != 0;
    }

    /**
     * Returns whether an answer was ever complete.
     *
     * @return whether there was one.
     */
    public boolean isAnswered() {
        return lastMeasuredAt != 0;
    }

    /**
     * Returns how old the last load report is.
     *
     * @param now the current time in microseconds.
     * @return the time since it was received, in microseconds.
     */
    public long reportAgeMicros(long now) {
        return now - lastReportAt;
    }

    /**
     * Returns how old the last measurement of an answer is.
     *
     * @param now the current time in microseconds.
     * @return the time since the answer was complete, in microseconds.
     */
    public long measuredAgeMicros(long now) {
        return now - lastMeasuredAt;
    }

    /**
     * Returns the estimate of the upstream's speed.
     *
     * @return the estimate.
     */
    public SpeedEstimate speed() {
        return speed;
    }

    /**
     * Returns the estimate of the upstream's cache.
     *
     * @return the index.
     */
    public PrefixIndex prefixes() {
        return prefixes;
    }

    /**
     * Returns the requests in flight.
     *
     * @return the requests by attempt.
     */
    public Map<PermitId, InFlightRequest> inFlight() {
        return inFlight;
    }

    /**
     * Estimates how many prompt tokens the upstream would have to process for a request.
     *
     * @param size the size of the request.
     * @return the number of tokens, at least 1 where there is a prompt.
     */
    public int uncachedTokens(RequestSize size) {
        if (size.promptTokens() == 0) {
            return 0;
        }
        double cached =
                options.reusesPrefixes() ? prefixes.cachedBlocks(size.blockDigests()) * RequestSize.BLOCK_TOKENS : 0;
        return (int) Math.max(1, size.promptTokens() - cached);
    }

    /**
     * Estimates how long a request would take if it were dispatched now, after the prompts that the upstream has yet to
     * process.
     *
     * @param size the size of the request.
     * @return the time in microseconds.
     */
    public double expectedMicros(RequestSize size) {
        int ahead = pendingPrefillTokens;
        return speed.expectedMicros(uncachedTokens(size) + ahead, size.outputTokens());
    }

    /**
     * Estimates the same for an upstream that may not have been measured lately. An idle upstream counts as faster the
     * longer it has not been measured, so that requests are sent to it again.
     *
     * @param size the size of the request.
     * @param now the current time in microseconds.
     * @return the time in microseconds.
     */
    public double decayedExpectedMicros(RequestSize size, long now) {
        return expectedMicros(size) * decayFactor(now);
    }

    /**
     * Rates how soon the upstream would finish a request, for selecting among upstreams: the expected time, raised by
     * the delay of other requests and by failures, and lowered while the upstream is idle.
     *
     * <p>An upstream that runs no request is not measured again, so that one slow answer, such as the first one after
     * its start, would exclude it permanently. Therefore the rating of an idle upstream improves with the time since
     * its last measurement.
     *
     * @param size the size of the request.
     * @param now the current time in microseconds.
     * @return the time in microseconds.
     */
    public double selectionMicros(RequestSize size, long now) {
        // Processing a prompt delays all other requests of the batch, which costs the pool more than the request
        // itself.
        double delay = uncachedTokens(size) * speed.prefillMicros() * runningCount() * PREFILL_DELAY_SHARE;
        return (expectedMicros(size) + delay)
                * decayFactor(now)
                * (1 + PENALTY_PER_FAILURE * ejection.consecutiveFailures());
    }

    /**
     * Estimates the share of a prompt that is in the upstream's cache.
     *
     * @param size the size of the request.
     * @return the share, 0 where there is no prompt.
     */
    public double cachedShare(RequestSize size) {
        return size.promptTokens() == 0 ? 0 : 1 - uncachedTokens(size) / (double) size.promptTokens();
    }

    /**
     * Estimates how long a request would take with no other prompt before it, for deciding whether it can meet its
     * deadline.
     *
     * @param uncachedTokens the number of prompt tokens that would have to be processed.
     * @param outputTokens the number of tokens in the answer.
     * @param now the current time in microseconds.
     * @return the time in microseconds.
     */
    public double serviceMicros(int uncachedTokens, int outputTokens, long now) {
        return speed.expectedMicros(uncachedTokens, outputTokens) * decayFactor(now);
    }

    private double decayFactor(long now) {
        if (runningCount() > 0) {
            return 1;
        }
        double decay = Math.max(0, measuredAgeMicros(now)) / MEASUREMENT_DECAY_MICROS;
        return Math.max(MIN_DECAY_FACTOR, 1 / (1 + decay));
    }

    /**
     * Records the dispatch of a request.
     *
     * @param request the request.
     * @param exclusive whether the upstream may run no other request at the same time.
     * @param now the current time in microseconds.
     */
    public void start(PermitRequest request, boolean exclusive, long now) {
        int uncached = uncachedTokens(request.size());
        inFlight.put(
                request.id(), new InFlightRequest(request, now, uncached, expectedMicros(request.size()), exclusive));
        pendingPrefillTokens += uncached;
        runsExclusive |= exclusive;
        peakInFlight.record(inFlight.size(), now);
        prefixes.dispatched(request.size().blockDigests());
    }

    /**
     * Records that the first token of an answer was received, which means that the prompt has been processed.
     *
     * @param id the attempt.
     * @param now the current time in microseconds.
     */
    public void firstToken(PermitId id, long now) {
        InFlightRequest flight = inFlight.get(id);
        if (flight != null && !flight.isPrefilled()) {
            markPrefilled(flight);
            if (flight.uncachedTokens() > 0) {
                speed.addFirstTokenTime(flight.uncachedTokens(), flight.startedAt(), now);
                adjustLimit(flight, runningCount(), now);
            }
        }
    }

    private void adjustLimit(InFlightRequest flight, int running, long now) {
        boolean noneWaiting = reportedNoneWaiting && reportAgeMicros(now) < REPORT_VALID_MICROS;
        if (limit.update(speed.isCongested(noneWaiting), flight.startedAt(), running, now)) {
            speed.resetCongestion();
        }
    }

    private void markPrefilled(InFlightRequest flight) {
        if (!flight.isPrefilled()) {
            flight.markPrefilled();
            pendingPrefillTokens -= flight.uncachedTokens();
        }
    }

    /**
     * Removes a request from those in flight.
     *
     * @param id the attempt.
     * @return the request in flight, or null where the attempt is not known.
     */
    public InFlightRequest end(PermitId id) {
        InFlightRequest flight = inFlight.remove(id);
        if (flight != null) {
            markPrefilled(flight);
            runsExclusive &= !flight.isExclusive();
            silentCount -= flight.isSilent() ? 1 : 0;
        }
        return flight;
    }

    /**
     * Records that the upstream sends nothing for a request. The request holds no slot until the upstream goes on, so
     * that one that hangs doesn't hold its slots until the deadlines of its requests.
     *
     * @param flight the request in flight.
     */
    public void fellSilent(InFlightRequest flight) {
        if (!flight.isSilent()) {
            markPrefilled(flight);
            runsExclusive &= !flight.isExclusive();
            flight.markSilent();
            silentCount++;
        }
    }

    /**
     * Records that the upstream goes on with a request.
     *
     * @param flight the request in flight.
     */
    public void wentOn(InFlightRequest flight) {
        silentCount -= flight.isSilent() ? 1 : 0;
        flight.endSilence();
    }

    /**
     * Returns the number of requests in flight that the upstream has not fallen silent on.
     *
     * @return the number of requests that hold a slot.
     */
    public int runningCount() {
        return inFlight.size() - silentCount;
    }

    /**
     * Updates the speed and the limit of the upstream with a complete answer. The time of an answer with a silence in it
     * is not used.
     *
     * @param flight the request that was in flight.
     * @param firstTokenMicros the time from dispatch to the first token, in microseconds.
     * @param totalMicros the time from dispatch to the end, in microseconds.
     * @param outputTokens the number of tokens in the answer.
     * @param now the current time in microseconds.
     */
    public void recordAnswer(
            InFlightRequest flight, long firstTokenMicros, long totalMicros, int outputTokens, long now) {
        if (!flight.wasSilent()) {
            lastMeasuredAt = now;
            long outputMicros = flight.uncachedTokens() > 0 ? totalMicros - firstTokenMicros : totalMicros;
            speed.addOutputTime(outputMicros, outputTokens, flight.startedAt(), now);
            adjustLimit(flight, runningCount() + 1, now);
        }
        refusals.recordRun();
        answerCount++;
        ejection.recordAnswer();
    }

    /**
     * Returns the number of complete answers of the present incarnation of the upstream that this scheduler has
     * recorded.
     *
     * @return the number of answers.
     */
    public int answerCount() {
        return answerCount;
    }

    /**
     * Records that the upstream did not admit a request.
     *
     * @param now the current time in microseconds.
     */
    public void recordRefusal(long now) {
        refusals.recordRefusal(millis(now));
    }

    /**
     * Records a failure.
     *
     * @return whether the upstream has to be ejected: after enough failures in a row, or at the first one after an
     *     ejection that no answer has followed.
     */
    public boolean recordFailure() {
        return ejection.recordFailure();
    }

    /**
     * Ejects the upstream. Each further ejection in a row lasts twice as long, up to a bound; afterwards the upstream
     * is probed with one request at a time.
     *
     * @param unreachable whether no connection to the upstream could be made.
     * @param now the current time in microseconds.
     */
    public void eject(boolean unreachable, long now) {
        speed.restart();
        ejection.begin(unreachable, now);
        limit.reset();
    }

    /**
     * Returns whether the speed of the upstream may be compared with that of others. After an ejection it needs answers
     * of its own first: the times for which it was ejected say nothing about its speed now.
     *
     * @return whether enough answers were measured, in all and since its last ejection.
     */
    public boolean isComparable() {
        return speed.hasEnoughSamples() && ejection.isMeasuredSince();
    }

    /**
     * Returns whether the upstream was last ejected because no connection to it could be made.
     *
     * @return whether it was unreachable.
     */
    public boolean wasUnreachable() {
        return ejection.wasUnreachable();
    }

    /** Ends the ejection; the upstream is still probed with one request at a time. */
    public void readmit() {
        ejection.end();
    }

    /**
     * Returns when the ejection ends.
     *
     * @return the time in microseconds, which is in the past where the upstream isn't ejected.
     */
    public long ejectedUntil() {
        return ejection.until();
    }

    /**
     * Records that the upstream is leaving. It stays so until a later incarnation is seen or its row changes; a stale
     * host list that still names it has no effect.
     */
    public void markLeaving() {
        leaving = true;
    }

    /**
     * Records that the upstream was seen alive. A later incarnation is no longer leaving or ejected, and its cache is
     * empty.
     *
     * @param seen the incarnation of the upstream's process that was seen.
     */
    public void markAlive(long seen) {
        if (seen > incarnation) {
            incarnation = seen;
            leaving = false;
            refusals = new RefusalBackoff();
            ejection.onRestart();
            answerCount = 0;
            prefixes.clear();
        }
    }

    /**
     * Applies the upstream's own report of its load. Since the report is stale, only requests beyond the recent maximum
     * in flight count as load from other sources: the requests that it counts may have ended by now.
     *
     * @param running the number of requests that the upstream reports as running.
     * @param waiting the number of requests that the upstream reports as waiting in its own queue.
     * @param now the current time in microseconds.
     */
    public void loadReported(int running, int waiting, long now) {
        lastReportAt = now;
        reportedNoneWaiting = waiting == 0;
        peakInFlight.record(inFlight.size(), now);
        externalLoad = Math.max(0, running + waiting - peakInFlight.value());
        if (waiting > 0) {
            limit.capAtRunning(running);
        }
    }
}
