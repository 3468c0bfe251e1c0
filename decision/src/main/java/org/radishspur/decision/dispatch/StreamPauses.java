package org.radishspur.decision.dispatch;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.radishspur.decision.dispatch.UpstreamLoad.Timeliness;

/**
 * Predicts the pauses of the streams at the upstreams of one pool, and rates upstreams by them.
 *
 * <p>An engine reads a prompt in chunks between the steps of the streams that run beside it. How long a pause may
 * become, as a multiple of the usual time per event, is about the same for all engines of a pool, because chunks and
 * steps scale with the speed of the engine. It is measured on complete streams of the whole pool, so that a scheduler
 * needs few answers of each engine, and so that it stays known while no long prompt is sent to slow engines.
 */
public final class StreamPauses {
    /** The share of streams whose pauses are not longer than the assumed maximum. */
    private static final double MAX_PAUSE_QUANTILE = 0.95;

    /**
     * The share of a limit up to which pauses of other streams may be predicted. The rest covers what a prediction
     * leaves out: how chunks and events meet, and how many streams run by then.
     */
    private static final double USED_LIMIT_SHARE = 0.8;

    /** The share of streams whose pauses are not longer than the usual one. */
    private static final double USUAL_PAUSE_QUANTILE = 0.5;

    /** The number of streams from which pauses are predicted. */
    private static final long MIN_STREAMS = 24;

    /**
     * The time after which the limit of a route that sends no more requests may be forgotten, in milliseconds; longer
     * than most streams run.
     */
    private static final long LIMIT_PERIOD_MILLIS = 30_000;

    private static final long NO_LIMIT = Long.MAX_VALUE;

    /**
     * Factor by which the weight of an earlier answer in the reading time shrinks with each new one; about two hundred
     * answers determine it, because short waits inside an engine make single times uncertain.
     */
    private static final double READING_DECAY = 0.995;

    private final FirstByteModel reading = new FirstByteModel(READING_DECAY);
    private final RecentQuantiles ratios = new RecentQuantiles();
    private long periodEndsAt;
    private long previousLimit = NO_LIMIT;
    private long currentLimit = NO_LIMIT;
    private double maxRatio;
    private double usualRatio;
    private long delayed;
    private long heldUp;

    /** Creates an instance without measurements. */
    public StreamPauses() {}

    /**
     * Records the longest pause of a complete stream, as a multiple of the upstream's usual time per event. The stream's
     * own time per event isn't used, because the pause is a part of it.
     *
     * @param load the upstream.
     * @param longestPauseMillis the longest time between two events, in milliseconds; 0 if it wasn't measured.
     */
    public void recordStream(UpstreamLoad load, long longestPauseMillis) {
        if (!load.isEventTimeKnown() || longestPauseMillis <= 0) {
            return;
        }
        ratios.add(Math.max(1, longestPauseMillis / load.eventMillis()));
        if (ratios.samples() >= MIN_STREAMS) {
            maxRatio = ratios.value(MAX_PAUSE_QUANTILE);
            usualRatio = ratios.value(USUAL_PAUSE_QUANTILE);
        }
    }

    /**
     * Records the time to first byte of an answer. Only answers whose prompt had none ahead of it show how long reading
     * takes, because a part of those ahead has been read already when a prompt arrives.
     *
     * @param promptTokens the tokens of its prompt that the upstream had to process.
     * @param tokensAhead the tokens of the prompts that the upstream had still to process then.
     * @param eventTimes the time as a multiple of the upstream's time per event.
     */
    void recordFirstByte(long promptTokens, long tokensAhead, double eventTimes) {
        if (tokensAhead == 0) {
            reading.add(promptTokens, eventTimes);
        }
    }

    /**
     * Records that an upstream is to be chosen for a request, and what its route allows, as the streams of that route may
     * run at any upstream of the pool.
     */
    void recordRequest(QueuedRequest queued, long now) {
        queued.setHeldBack(false);
        if (now >= periodEndsAt) {
            previousLimit = now - periodEndsAt < LIMIT_PERIOD_MILLIS ? currentLimit : NO_LIMIT;
            currentLimit = NO_LIMIT;
            periodEndsAt = now + LIMIT_PERIOD_MILLIS;
        }
        if (queued.terms().maxPauseMillis() > 0) {
            currentLimit = Math.min(currentLimit, queued.terms().maxPauseMillis());
        }
    }

    /** Returns the shortest pause that a route of the pool has lately set as its limit, in milliseconds. */
    private long tightestLimitMillis() {
        return Math.min(previousLimit, currentLimit);
    }

    /**
     * Rates an upstream for a request by the pauses that are to be expected there.
     *
     * @param alone how timely the answer is likely to be, without regard to pauses.
     * @param load the upstream.
     * @param queued the request.
     * @param uncachedTokens the tokens of its prompt that the upstream has to process.
     * @return the rating, the same or a worse one.
     */
    Timeliness rate(Timeliness alone, UpstreamLoad load, QueuedRequest queued, long uncachedTokens) {
        if (maxRatio == 0
                || !reading.isKnownForPool()
                || alone.compareTo(Timeliness.LATE) >= 0
                || !load.isEventTimeKnown()) {
            return alone;
        }
        long ownLimit = queued.terms().maxPauseMillis();
        if (ownLimit > 0 && load.eventMillis() * usualRatio > ownLimit) {
            return Timeliness.LATE;
        }
        return holdsUpStreams(load, uncachedTokens) ? Timeliness.HOLDING_UP : alone;
    }

    /** Returns whether streams in progress at an upstream are likely to pause for too long if a prompt starts there. */
    private boolean holdsUpStreams(UpstreamLoad load, long promptTokens) {
        double limit = tightestLimitMillis() * USED_LIMIT_SHARE;
        return promptTokens > 0
                && load.inProgress() > 0
                && load.eventMillis() * maxRatio > limit
                && predictedPauseMillis(load, promptTokens) > limit;
    }

    /** Returns the longest pause of streams beside a prompt that starts at an upstream now, in milliseconds. */
    double predictedPauseMillis(UpstreamLoad load, long promptTokens) {
        double eventTimes = 1 + reading.millisPerToken() * (promptTokens + load.pendingTokens());
        return load.eventMillis() * Math.min(maxRatio, eventTimes);
    }

    /**
     * Records what was chosen for a request.
     *
     * @param queued the request.
     * @param chosen the rating of the upstream that it is sent to; empty if it waits.
     * @param passesOver returns whether an upstream with a free slot was passed over because the request would hold up
     *     streams there.
     */
    void recordChoice(QueuedRequest queued, Optional<Timeliness> chosen, BooleanSupplier passesOver) {
        if (chosen.isPresent()) {
            heldUp += chosen.get() == Timeliness.HOLDING_UP ? 1 : 0;
        } else if (queued.setHeldBack(passesOver.getAsBoolean())) {
            delayed++;
        }
    }

    /**
     * Returns the longest pause that is expected, as a multiple of an upstream's time per event.
     *
     * @return the multiple; 0 as long as it is unknown.
     */
    public double maxRatio() {
        return maxRatio;
    }

    /**
     * Returns how many requests waited for another upstream because of the streams that they would have held up.
     *
     * @return the number of requests since the start.
     */
    public long delayed() {
        return delayed;
    }

    /**
     * Returns how many requests were sent to an upstream although they were likely to hold up streams there.
     *
     * @return the number of requests since the start.
     */
    public long heldUp() {
        return heldUp;
    }
}
