package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Orders the requests of a tier by the time that they have and by their own work: a short answer goes before a long one
 * that arrived a little earlier. The advance is bounded, so that long answers are not starved.
 */
final class QueuePriority {
    /** Maximum advance of a short answer, and delay of a long one, as a share of the time in which it can be on time. */
    private static final double MAX_SHIFT_SHARE = 0.1;

    /** Ratio of the work of a request to the usual work of its tier from which the shift doesn't grow any more. */
    private static final double MAX_WORK_RATIO = 4;

    /** Weight of the newest request in the usual work; about fifty requests outweigh the older ones. */
    private static final double WORK_AVERAGE_WEIGHT = 0.02;

    private final Map<Integer, MovingAverage> usualLogWorkByTier = new HashMap<>();

    /**
     * Adds the work of a request to the usual work of its tier, and returns its virtual deadline: the latest start for an
     * answer on time, moved by its own work, in milliseconds of the scheduler's clock. The earliest comes first.
     */
    long recordAndComputeVirtualDeadline(QueuedRequest queued, RequestTimes times) {
        if (times.holdMillis() <= 0 || queued.isPlainCall()) {
            return queued.latestStart();
        }
        MovingAverage usual = usualLogWorkByTier.computeIfAbsent(
                queued.requirements().tier(), key -> new MovingAverage(WORK_AVERAGE_WEIGHT));
        double logarithm = Math.log(Math.max(1, times.holdMillis()));
        usual.add(logarithm);
        double steps = (logarithm - usual.value()) / Math.log(MAX_WORK_RATIO);
        long waitMillis = Math.max(0, queued.latestStart() - queued.arrivedAt());
        return queued.latestStart() + (long) (Math.max(-1, Math.min(1, steps)) * MAX_SHIFT_SHARE * waitMillis);
    }
}
