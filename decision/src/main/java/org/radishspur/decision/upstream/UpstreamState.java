package org.radishspur.decision.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.radishspur.decision.permit.PermitRequest;
import org.radishspur.decision.permit.SchedulerOptions;
import org.radishspur.decision.permit.Work;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.UpstreamRow;

/**
 * Holds what the scheduler knows of one upstream.
 */
public final class UpstreamState {
    private static final double MEASUREMENT_FADE_MICROS = 5_000_000;
    private static final long REPORT_VALID_MICROS = 6_000_000;
    private static final double PREFILL_DELAY_SHARE = 0.3;
    private static final double PENALTY_PER_FAILURE = 4;
    private static final double MIN_FADING_FACTOR = 0.1;

    private final SchedulerOptions options;
    private final Map<PermitId, InFlight> inFlight = new HashMap<>();
    private final SpeedEstimate speed;
    private final ConcurrencyLimit limit;
    private final PrefixIndex prefixes;
    private UpstreamRow row;
    private long incarnation;
    private boolean leaving;
    private Set<String> evacuated = Set.of();
    private boolean removed;
    private long ejectedUntil;
    private int consecutiveEjections;
    private int consecutiveFailures;
    private int answerCount;
    private int answersSinceEjection;
    private int externalLoad;
    private int recentPeakInFlight;
    private int pendingPrefillTokens;
    private boolean runsExclusive;
    private long lastMeasuredAt;
    private long lastReportAt;
    private boolean reportedNoneWaiting;

    /**
     * Creates the state of an upstream that has run nothing yet.
     *
     * @param row the row of the pool's table.
     * @param engine whether the upstream is a model engine.
     * @param ceiling the greatest number of requests that it may run at once.
     * @param options the scheduling policy.
     */
    public UpstreamState(UpstreamRow row, boolean engine, int ceiling, SchedulerOptions options) {
        this.row = row;
        this.options = options;
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
     * Replaces the row, as after an edit of the pool.
     *
     * @param changed the new row.
     */
    public void row(UpstreamRow changed) {
        leaving &= changed.equals(row);
        row = changed;
        removed = false;
    }

    /** Notes that the pool's row no longer names the upstream; requests in flight still return. */
    public void remove() {
        removed = true;
    }

    /**
     * Sets the failure domains whose upstreams get no new request.
     *
     * @param failureDomains the evacuated failure domains.
     */
    public void evacuate(Set<String> failureDomains) {
        evacuated = failureDomains;
    }

    /**
     * Returns whether the upstream may be given work now, apart from its limit.
     *
     * @param now the clock in microseconds.
     * @return whether it is a member of the pool and not ejected.
     */
    public boolean isUsable(long now) {
        return isMember() && now >= ejectedUntil;
    }

    /**
     * Returns whether the upstream will be usable without anybody's doing, once its ejection ends.
     *
     * @return whether it is part of the pool, not leaving, and stands in no evacuated failure domain.
     */
    public boolean isMember() {
        return !leaving && !removed && !evacuated.contains(row.failureDomain());
    }

    /**
     * Returns the number of requests that may be added now.
     *
     * @param now the clock in microseconds.
     * @return the number of free slots.
     */
    public int freeSlots(long now) {
        if (!isUsable(now) || runsExclusive) {
            return 0;
        }
        return Math.max(0, limit.value() - inFlight.size() - externalLoad);
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
     * Returns what is known of the upstream's speed.
     *
     * @return the estimate.
     */
    public SpeedEstimate speed() {
        return speed;
    }

    /**
     * Returns what is known of the upstream's cache.
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
    public Map<PermitId, InFlight> inFlight() {
        return inFlight;
    }

    /**
     * Estimates how many prompt tokens the upstream would have to compute for a request.
     *
     * @param work the request.
     * @return the number of tokens, at least 1 where there is a prompt.
     */
    public int uncachedTokens(Work work) {
        if (work.promptTokens() == 0) {
            return 0;
        }
        double cached = options.reusesPrefixes() ? prefixes.cachedBlocks(work.prefix()) * Work.BLOCK_TOKENS : 0;
        return (int) Math.max(1, work.promptTokens() - cached);
    }

    /**
     * Estimates when the upstream would finish a request given to it now.
     *
     * @param work the request.
     * @return the time in microseconds.
     */
    public double expectedMicros(Work work) {
        int ahead = pendingPrefillTokens;
        return speed.expectedMicros(uncachedTokens(work) + ahead, work.outputTokens());
    }

    /**
     * Estimates when an idle or busy upstream would finish a request, for choosing between upstreams.
     *
     * <p>Guards against shutting out an upstream for good because of one slow answer, as the first one after its start:
     * an upstream that runs nothing is never measured again. The longer an idle upstream goes unmeasured, the less its
     * old measures count against it.
     *
     * @param work the request.
     * @param now the clock in microseconds.
     * @return the time in microseconds.
     */
    public double selectionMicros(Work work, long now) {
        // Computing a prompt holds up every other request of the batch, which costs the pool more than the request
        // itself.
        double heldUp = uncachedTokens(work) * speed.prefillMicros() * inFlight.size() * PREFILL_DELAY_SHARE;
        return (expectedMicros(work) + heldUp) * fadingFactor(now) * (1 + PENALTY_PER_FAILURE * consecutiveFailures);
    }

    /**
     * Returns the share of a prompt that the upstream seems to hold.
     *
     * @param work the request.
     * @return the share, 0 where there is no prompt.
     */
    public double cachedShare(Work work) {
        return work.promptTokens() == 0 ? 0 : 1 - uncachedTokens(work) / (double) work.promptTokens();
    }

    /**
     * Estimates how long a request would take if nothing were ahead of it, for deciding whether it can be in time.
     *
     * @param uncachedTokens the number of prompt tokens that would have to be computed.
     * @param outputTokens the number of tokens in the answer.
     * @param now the clock in microseconds.
     * @return the time in microseconds.
     */
    public double serviceMicros(int uncachedTokens, int outputTokens, long now) {
        return speed.expectedMicros(uncachedTokens, outputTokens) * fadingFactor(now);
    }

    private double fadingFactor(long now) {
        if (!inFlight.isEmpty()) {
            return 1;
        }
        double unmeasured = Math.max(0, now - lastMeasuredAt) / MEASUREMENT_FADE_MICROS;
        return Math.max(MIN_FADING_FACTOR, 1 / (1 + unmeasured));
    }

    /**
     * Puts a request in flight.
     *
     * @param request the request.
     * @param exclusive whether the upstream may run nothing else meanwhile.
     * @param now the clock in microseconds.
     */
    public void start(PermitRequest request, boolean exclusive, long now) {
        int uncached = uncachedTokens(request.work());
        inFlight.put(request.id(), new InFlight(request, now, uncached, expectedMicros(request.work()), exclusive));
        pendingPrefillTokens += uncached;
        runsExclusive |= exclusive;
        recentPeakInFlight = Math.max(recentPeakInFlight, inFlight.size());
        prefixes.dispatched(request.work().prefix());
    }

    /**
     * Notes that the first token of a request has come, so that its prompt is computed.
     *
     * @param id the attempt.
     * @param now the clock in microseconds.
     */
    public void firstToken(PermitId id, long now) {
        InFlight flight = inFlight.get(id);
        if (flight != null && !flight.prefilled) {
            markPrefilled(flight);
            if (flight.uncachedTokens > 0) {
                speed.learnFirstToken(flight.uncachedTokens, flight.elapsed(now));
                adjustLimit(flight, inFlight.size(), now);
            }
        }
    }

    private void adjustLimit(InFlight flight, int running, long now) {
        boolean calm = reportedNoneWaiting && now - lastReportAt < REPORT_VALID_MICROS;
        if (limit.learn(speed.isCongested(calm), flight.startedAt, running, now)) {
            speed.resetCongestion();
        }
    }

    private void markPrefilled(InFlight flight) {
        if (!flight.prefilled) {
            flight.prefilled = true;
            pendingPrefillTokens -= flight.uncachedTokens;
        }
    }

    /**
     * Takes a request out of flight.
     *
     * @param id the attempt.
     * @return what was in flight, or null where the attempt is not known.
     */
    public InFlight end(PermitId id) {
        InFlight flight = inFlight.remove(id);
        if (flight != null) {
            markPrefilled(flight);
            runsExclusive &= !flight.exclusive;
        }
        return flight;
    }

    /**
     * Learns from an answer that came to its end.
     *
     * @param flight what was in flight.
     * @param firstTokenMicros the time to the first token.
     * @param totalMicros the time to the end.
     * @param outputTokens the number of tokens.
     * @param now the clock in microseconds.
     */
    public void learn(InFlight flight, long firstTokenMicros, long totalMicros, int outputTokens, long now) {
        lastMeasuredAt = now;
        speed.learnOutput(flight.uncachedTokens > 0 ? totalMicros - firstTokenMicros : totalMicros, outputTokens);
        adjustLimit(flight, inFlight.size() + 1, now);
        consecutiveFailures = 0;
        answerCount++;
        answersSinceEjection++;
        if (answersSinceEjection > options.failuresToEject()) {
            consecutiveEjections = 0;
        }
    }

    /**
     * Returns how many answers this run of the upstream has given, as far as this scheduler has seen them.
     *
     * @return the number.
     */
    public int answerCount() {
        return answerCount;
    }

    /**
     * Counts a failure.
     *
     * @return whether there have been enough in a row to eject the upstream.
     */
    public boolean recordFailure() {
        consecutiveFailures++;
        return consecutiveFailures >= options.failuresToEject()
                || answersSinceEjection == 0 && consecutiveEjections > 0;
    }

    /**
     * Ejects the upstream for a while, longer each time in a row; afterwards it is probed with one request at a time.
     *
     * @param now the clock in microseconds.
     */
    public void eject(long now) {
        long length = options.firstEjectionMicros() << Math.min(consecutiveEjections, Integer.SIZE / 2);
        ejectedUntil = now + Math.min(length, options.maxEjectionMicros());
        consecutiveEjections++;
        consecutiveFailures = 0;
        answersSinceEjection = 0;
        limit.reset();
    }

    /** Ends the ejection; the upstream is still probed with one request at a time. */
    public void readmit() {
        ejectedUntil = 0;
    }

    /**
     * Returns when the ejection ends.
     *
     * @return the clock in microseconds, in the past where the upstream isn't ejected.
     */
    public long ejectedUntil() {
        return ejectedUntil;
    }

    /**
     * Notes that the upstream is leaving. That holds, whatever a stale host list says, until a later incarnation shows.
     */
    public void markLeaving() {
        leaving = true;
    }

    /**
     * Notes that the upstream was seen alive.
     *
     * @param seen which run of the upstream's process was seen.
     */
    public void seen(long seen) {
        if (seen > incarnation) {
            incarnation = seen;
            leaving = false;
            ejectedUntil = 0;
            consecutiveFailures = 0;
            answerCount = 0;
            prefixes.clear();
        }
    }

    /**
     * Corrects the count of requests by the upstream's own report, which lags. Only what is above everything that was
     * in flight lately is counted as somebody else's load.
     *
     * @param running the number of requests that the upstream says it runs.
     * @param waiting the number of requests that the upstream says wait inside it.
     * @param now the clock in microseconds.
     */
    public void loadReported(int running, int waiting, long now) {
        lastReportAt = now;
        reportedNoneWaiting = waiting == 0;
        externalLoad = Math.max(0, running + waiting - recentPeakInFlight);
        recentPeakInFlight = inFlight.size();
        if (waiting > 0) {
            limit.capAtRunning(running);
        }
    }

    /**
     * Holds one request in flight.
     */
    public static final class InFlight {
        private final PermitRequest request;
        private final long startedAt;
        private final int uncachedTokens;
        private final double expectedMicros;
        private final boolean exclusive;
        private boolean prefilled;
        private boolean overdue;

        InFlight(PermitRequest request, long startedAt, int uncachedTokens, double expectedMicros, boolean exclusive) {
            this.request = request;
            this.startedAt = startedAt;
            this.uncachedTokens = uncachedTokens;
            this.expectedMicros = expectedMicros;
            this.exclusive = exclusive;
        }

        /**
         * Returns the request.
         *
         * @return the request.
         */
        public PermitRequest request() {
            return request;
        }

        /**
         * Tells, once, that the request has taken much longer than expected.
         *
         * @param factor how many times the expected time is much longer.
         * @param now the clock in microseconds.
         * @return whether that is news.
         */
        public boolean becameOverdue(double factor, long now) {
            if (overdue || now - startedAt < factor * expectedMicros) {
                return false;
            }
            overdue = true;
            return true;
        }

        /**
         * Returns how long the request has been in flight.
         *
         * @param now the clock in microseconds.
         * @return the time in microseconds.
         */
        public long elapsed(long now) {
            return now - startedAt;
        }
    }
}
