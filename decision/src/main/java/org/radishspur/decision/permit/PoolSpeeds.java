package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.radishspur.decision.upstream.SpeedEstimate;
import org.radishspur.decision.upstream.UpstreamState;

/**
 * Caches aggregates over the speeds of a pool's upstreams, so that not every decision iterates over all upstreams.
 */
final class PoolSpeeds {
    /** The age from which the aggregates are computed again. */
    private static final long MAX_AGE_MICROS = 20_000;

    /** The number of upstreams that are compared for the shortest service time, those with the fastest output first. */
    private static final int FASTEST_COMPARED = 4;

    /** The weight of a new sample in the moving average. */
    private static final double SMOOTHING = 0.02;

    private List<UpstreamState> fastestFirst = List.of();
    private double meanPrefillMicros;
    private double meanOutputMicros;

    /** How much cost the pool completes in a microsecond while all slots are in use, at least 1. */
    private double serviceRate = 1;

    private double meanCachedShare;
    private boolean anyMeasured;
    private boolean anyUnmeasured;
    private final SpeedHistory history = new SpeedHistory();
    private long refreshedAt = Long.MIN_VALUE / 2;

    /** Has the aggregates computed again at the next use. */
    void expire() {
        refreshedAt = Long.MIN_VALUE / 2;
    }

    void refreshIfStale(Collection<UpstreamState> upstreams, long now) {
        if (now - refreshedAt < MAX_AGE_MICROS) {
            return;
        }
        refreshedAt = now;
        List<UpstreamState> members = new ArrayList<>();
        double prefill = 0;
        double output = 0;
        double rate = 0;
        anyMeasured = false;
        anyUnmeasured = false;
        for (UpstreamState upstream : upstreams) {
            if (upstream.isMember()) {
                members.add(upstream);
                prefill += upstream.speed().prefillMicros();
                output += upstream.speed().outputMicros();
                rate += upstream.limit() / upstream.speed().outputMicros();
                anyMeasured |= upstream.speed().hasEnoughSamples();
                anyUnmeasured |= !upstream.speed().hasEnoughSamples();
            }
        }
        int count = Math.max(1, members.size());
        meanPrefillMicros = prefill / count;
        meanOutputMicros = output / count;
        serviceRate = Math.max(1, rate * meanOutputMicros);
        members.sort(Comparator.comparingDouble(upstream -> upstream.speed().outputMicros()));
        fastestFirst = members;
        history.record(anyMeasured ? currentSpeeds() : SpeedHistory.Speeds.UNMEASURED, now);
    }

    private SpeedHistory.Speeds currentSpeeds() {
        double fastestStep = 0;
        double fastestOutput = 0;
        if (!anyUnmeasured) {
            fastestStep = fastestFirst.stream()
                    .mapToDouble(upstream -> upstream.speed().prefillMicros())
                    .min()
                    .orElse(0);
            fastestOutput = fastestFirst.get(0).speed().outputMicros();
        }
        return new SpeedHistory.Speeds(
                meanPrefillMicros / serviceRate, meanOutputMicros / serviceRate, fastestStep, fastestOutput);
    }

    /** Records which share of its prompt a granted request found in the cache of its upstream. */
    void granted(double cachedShare) {
        meanCachedShare += SMOOTHING * (cachedShare - meanCachedShare);
    }

    List<UpstreamState> fastestFirst() {
        return fastestFirst;
    }

    /** Returns whether the speed of at least one upstream is known from enough requests. */
    boolean isAnyMeasured() {
        return anyMeasured;
    }

    /** Returns the speeds that were assumed over the last seconds. */
    SpeedHistory history() {
        return history;
    }

    /** Returns how long the pool takes for queued requests while all slots are in use, in microseconds. */
    double drainMicros(QueuedWork work) {
        return (work.stepTokens() * meanPrefillMicros + work.outputTokens() * meanOutputMicros) / serviceRate;
    }

    /** Returns the cost of a request: the time that an upstream of average speed takes for it, in microseconds. */
    double costOf(int promptTokens, int outputTokens) {
        return Math.max(1, SpeedEstimate.micros(promptTokens, meanPrefillMicros, outputTokens, meanOutputMicros));
    }

    /**
     * Returns the shortest time in microseconds that one of the fastest upstreams takes for a request, if the usual
     * share of its prompt is cached. Returns 0 as long as the speed of any upstream is unknown, and
     * {@link Double#MAX_VALUE} where there is no upstream.
     */
    double shortestServiceMicros(RequestSize size, long now) {
        if (fastestFirst.isEmpty()) {
            return Double.MAX_VALUE;
        }
        if (anyUnmeasured) {
            return 0;
        }
        int uncached = usualUncachedTokens(size);
        double fastest = Double.MAX_VALUE;
        for (int index = 0; index < Math.min(FASTEST_COMPARED, fastestFirst.size()); index++) {
            UpstreamState upstream = fastestFirst.get(index);
            fastest = Math.min(fastest, upstream.serviceMicros(uncached, size.outputTokens(), now));
        }
        return fastest;
    }

    /** Returns how many prompt tokens of a request have to be processed if the usual share of its prompt is cached. */
    private int usualUncachedTokens(RequestSize size) {
        return (int) Math.ceil(size.promptTokens() * (1 - meanCachedShare));
    }

    /** Returns the work of a request of which the usual share of the prompt is cached. */
    QueuedWork usualWorkOf(RequestSize size) {
        return new QueuedWork(SpeedEstimate.stepTokens(usualUncachedTokens(size)), size.outputTokens());
    }
}
