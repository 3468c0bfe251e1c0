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
    private static final double FADE_MICROS = 5_000_000;
    private static final long REPORT_VALID_MICROS = 6_000_000;
    private static final double HELD_UP_SHARE = 0.3;
    private static final double FAILURE_PENALTY = 4;
    private static final double MOST_HOPEFUL = 0.1;

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
    private int ejectionsInRow;
    private int failuresInRow;
    private int answers;
    private int answersSinceEjection;
    private int externalLoad;
    private int recentPeak;
    private int pendingPrefill;
    private boolean exclusive;
    private long learnedAt;
    private long reportedAt;
    private boolean reportedCalm;

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
        this.prefixes = new PrefixIndex(options.prefixBlocks());
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
        if (!isUsable(now) || exclusive) {
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
        int ahead = pendingPrefill;
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
    public double hopefulMicros(Work work, long now) {
        // Computing a prompt holds up every other request of the batch, which costs the pool more than the request
        // itself.
        double heldUp = uncachedTokens(work) * speed.prefillMicros() * inFlight.size() * HELD_UP_SHARE;
        return (expectedMicros(work) + heldUp) * fading(now) * (1 + FAILURE_PENALTY * failuresInRow);
    }

    /**
     * Returns the share of a prompt that the upstream seems to hold.
     *
     * @param work the request.
     * @return the share, 0 where there is no prompt.
     */
    public double heldShare(Work work) {
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
    public double unqueuedMicros(int uncachedTokens, int outputTokens, long now) {
        return speed.expectedMicros(uncachedTokens, outputTokens) * fading(now);
    }

    private double fading(long now) {
        if (!inFlight.isEmpty()) {
            return 1;
        }
        double unmeasured = Math.max(0, now - learnedAt) / FADE_MICROS;
        return Math.max(MOST_HOPEFUL, 1 / (1 + unmeasured));
    }

    /**
     * Puts a request in flight.
     *
     * @param request the request.
     * @param alone whether the upstream may run nothing else meanwhile.
     * @param now the clock in microseconds.
     */
    public void start(PermitRequest request, boolean alone, long now) {
        int uncached = uncachedTokens(request.work());
        inFlight.put(request.id(), new InFlight(request, now, uncached, expectedMicros(request.work()), alone));
        pendingPrefill += uncached;
        exclusive |= alone;
        recentPeak = Math.max(recentPeak, inFlight.size());
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
            prefilled(flight);
            if (flight.uncachedTokens > 0) {
                speed.learnFirstToken(flight.uncachedTokens, flight.elapsed(now));
                learnLimit(flight, inFlight.size(), now);
            }
        }
    }

    private void learnLimit(InFlight flight, int running, long now) {
        boolean calm = reportedCalm && now - reportedAt < REPORT_VALID_MICROS;
        if (limit.learn(speed.isCongested(calm), flight.startedAt, running, now)) {
            speed.forgetCongestion();
        }
    }

    private void prefilled(InFlight flight) {
        if (!flight.prefilled) {
            flight.prefilled = true;
            pendingPrefill -= flight.uncachedTokens;
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
            prefilled(flight);
            exclusive &= !flight.alone;
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
        learnedAt = now;
        speed.learnOutput(flight.uncachedTokens > 0 ? totalMicros - firstTokenMicros : totalMicros, outputTokens);
        learnLimit(flight, inFlight.size() + 1, now);
        failuresInRow = 0;
        answers++;
        answersSinceEjection++;
        if (answersSinceEjection > options.failuresToEject()) {
            ejectionsInRow = 0;
        }
    }

    /**
     * Returns how many answers this run of the upstream has given, as far as this scheduler has seen them.
     *
     * @return the number.
     */
    public int answers() {
        return answers;
    }

    /**
     * Counts a failure.
     *
     * @return whether there have been enough in a row to eject the upstream.
     */
    public boolean fail() {
        failuresInRow++;
        return failuresInRow >= options.failuresToEject() || answersSinceEjection == 0 && ejectionsInRow > 0;
    }

    /**
     * Ejects the upstream for a while, longer each time in a row; afterwards it is probed with one request at a time.
     *
     * @param now the clock in microseconds.
     */
    public void eject(long now) {
        long length = options.ejectionMicros() << Math.min(ejectionsInRow, Integer.SIZE / 2);
        ejectedUntil = now + Math.min(length, options.longestEjectionMicros());
        ejectionsInRow++;
        failuresInRow = 0;
        answersSinceEjection = 0;
        limit.restart();
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
    public void leave() {
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
            failuresInRow = 0;
            answers = 0;
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
    public void reported(int running, int waiting, long now) {
        reportedAt = now;
        reportedCalm = waiting == 0;
        externalLoad = Math.max(0, running + waiting - recentPeak);
        recentPeak = inFlight.size();
        if (waiting > 0) {
            limit.saturatedAt(running);
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
        private final boolean alone;
        private boolean prefilled;
        private boolean overdue;

        InFlight(PermitRequest request, long startedAt, int uncachedTokens, double expectedMicros, boolean alone) {
            this.request = request;
            this.startedAt = startedAt;
            this.uncachedTokens = uncachedTokens;
            this.expectedMicros = expectedMicros;
            this.alone = alone;
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
