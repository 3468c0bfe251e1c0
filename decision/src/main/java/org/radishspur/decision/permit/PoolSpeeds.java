package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.radishspur.decision.upstream.SpeedEstimate;
import org.radishspur.decision.upstream.UpstreamState;

/**
 * Sums up the speeds of a pool's upstreams. The sums are made anew at most every few milliseconds, so that a decision
 * doesn't look at every upstream again and again.
 */
final class PoolSpeeds {
    private static final long MAX_AGE_MICROS = 20_000;
    private static final int FASTEST_COMPARED = 4;
    private static final double SMOOTHING = 0.02;

    private List<UpstreamState> fastestFirst = List.of();
    private double meanPrefillMicros;
    private double meanOutputMicros;
    private double serviceRate = 1;
    private double meanCachedShare;
    private boolean anyMeasured;
    private boolean anyUnmeasured;
    private long refreshedAt = Long.MIN_VALUE / 2;

    /** Makes the sums anew with the next use. */
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
    }

    /** Learns how much of a prompt the chosen upstream held. */
    void granted(double heldShare) {
        meanCachedShare += SMOOTHING * (heldShare - meanCachedShare);
    }

    List<UpstreamState> fastestFirst() {
        return fastestFirst;
    }

    /** Returns whether at least one upstream has been measured. */
    boolean isAnyMeasured() {
        return anyMeasured;
    }

    /** Returns how much cost the pool works off in a microsecond when all slots are full. */
    double serviceRate() {
        return serviceRate;
    }

    /** Returns the cost of a request: the time that an average upstream would take, in microseconds. */
    double costOf(int promptTokens, int outputTokens) {
        return Math.max(1, SpeedEstimate.micros(promptTokens, meanPrefillMicros, outputTokens, meanOutputMicros));
    }

    /**
     * Returns how long a request takes at best, if as much of its prompt is held as usual: 0 as long as an upstream has
     * not been measured, and the greatest number where there is no upstream.
     */
    double shortestServiceMicros(Work work, long now) {
        if (fastestFirst.isEmpty()) {
            return Double.MAX_VALUE;
        }
        if (anyUnmeasured) {
            return 0;
        }
        int uncached = (int) Math.ceil(work.promptTokens() * (1 - meanCachedShare));
        double fastest = Double.MAX_VALUE;
        for (int index = 0; index < Math.min(FASTEST_COMPARED, fastestFirst.size()); index++) {
            UpstreamState upstream = fastestFirst.get(index);
            fastest = Math.min(fastest, upstream.serviceMicros(uncached, work.outputTokens(), now));
        }
        return fastest;
    }
}
