package org.radishspur.decision.permit;

import java.util.List;
import java.util.Map;

import org.radishspur.decision.upstream.UpstreamState;
import org.radishspur.model.request.Tier;

/**
 * Estimates whether the requests of a pool can meet their deadlines.
 *
 * <p>A refusal is final for the caller. Therefore a deadline counts as unreachable only if it is so by the present
 * speeds of the upstreams and by most of those that were assumed lately.
 */
final class DeadlineEstimator {
    /** The share of a request's remaining time in which most speeds must have made its deadline unreachable. */
    private static final double EVIDENCE_SHARE = 0.2;

    /** After which time a request is checked again whose deadline is unreachable by the present speeds alone. */
    private static final long RECHECK_MICROS = 100_000;

    private final SchedulerOptions options;
    private final Map<String, UpstreamState> upstreams;
    private final WaitingQueue queue;
    private final PoolSpeeds speeds;
    private final CostCorrection costCorrection = new CostCorrection();

    DeadlineEstimator(
            SchedulerOptions options, Map<String, UpstreamState> upstreams, WaitingQueue queue, PoolSpeeds speeds) {
        this.options = options;
        this.upstreams = upstreams;
        this.queue = queue;
        this.speeds = speeds;
    }

    /** Records the estimated and the actual cost of a request that was answered. */
    void recordCost(double estimated, double actual) {
        costCorrection.addSample(estimated, actual);
    }

    /**
     * Returns the shortest time in microseconds that an upstream of the pool takes for a request, or
     * {@link Double#MAX_VALUE} where there is no upstream. It is 0 as long as the speed of any upstream is unknown: a
     * refusal based on an assumed speed would keep that upstream from ever being measured.
     */
    double shortestServiceMicros(RequestSize size, long now) {
        speeds.refreshIfStale(upstreams.values(), now);
        return speeds.shortestServiceMicros(size, now);
    }

    /**
     * Returns the expected wait of a new request of a tier in microseconds, or 0 as long as no upstream has been
     * measured.
     */
    double expectedWaitMicros(Tier tier) {
        return speeds.isAnyMeasured() ? speeds.drainMicros(queue.workAhead(tier)) * costCorrection.factor() : 0;
    }

    /** Returns whether a new request can't meet its deadline. */
    boolean isUnreachable(PermitRequest request, long now) {
        double micros = shortestServiceMicros(request.size(), now) + expectedWaitMicros(request.tier());
        return now + options.deadlineMargin() * micros > request.deadlineAt()
                && wasMostlyUnreachable(request, queue.workAhead(request.tier()), now);
    }

    /**
     * Returns the time after which a queued request can no longer meet its deadline, or after which it has to be checked
     * again.
     */
    long latestStart(PermitRequest request, long now) {
        double service = shortestServiceMicros(request.size(), now);
        long latest = (long) (request.deadlineAt() - options.deadlineMargin() * service);
        if (latest >= now || wasMostlyUnreachable(request, QueuedWork.NONE, now)) {
            return latest;
        }
        return Math.min(request.deadlineAt(), now + RECHECK_MICROS);
    }

    /**
     * Returns whether a request can't meet its deadline by most of the speeds that were assumed lately. The more time
     * it has left, the further back they count.
     */
    private boolean wasMostlyUnreachable(PermitRequest request, QueuedWork ahead, long now) {
        long remaining = request.deadlineAt() - now;
        QueuedWork own = speeds.usualWorkOf(request.size());
        return speeds.history()
                .heldMostly(
                        assumed -> {
                            double wait = assumed.drainMicros(ahead) * costCorrection.factor();
                            return options.deadlineMargin() * (wait + assumed.serviceMicros(own)) > remaining;
                        },
                        (long) (remaining * EVIDENCE_SHARE));
    }

    /** Returns the present estimate for a request, with its inputs. */
    DeadlineEstimate estimate(PermitRequest request, long now) {
        return new DeadlineEstimate(
                request.deadlineAt() - now,
                expectedWaitMicros(request.tier()),
                shortestServiceMicros(request.size(), now),
                queue.size(),
                costCorrection.factor(),
                upstreamSnapshots(now));
    }

    /** Returns what is assumed about the upstreams of the pool. */
    List<UpstreamSnapshot> upstreamSnapshots(long now) {
        return upstreams.values().stream()
                .map(upstream -> UpstreamSnapshot.of(upstream, now))
                .toList();
    }
}
