package org.radishspur.node.control;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.radishspur.decision.permit.DeadlineEstimate;
import org.radishspur.decision.permit.PermitAction;
import org.radishspur.decision.permit.UpstreamSnapshot;
import org.radishspur.node.log.ComponentLog;

/**
 * Logs the decisions of a queue's owner that an operator may have to explain, with their inputs and the age of these.
 * The number of lines for single requests is limited, since an overloaded pool refuses thousands in a second.
 */
final class DecisionLog {
    private static final int MAX_REQUEST_LINES_PER_SECOND = 20;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private long currentSecond;
    private int linesInSecond;
    private long suppressedLines;

    void log(String pool, PermitAction.Ejected ejected) {
        ComponentLog.OWNER.warn(
                "Upstream " + ejected.upstream() + " of pool " + pool + " is ejected, cause " + ejected.cause() + '.');
    }

    void log(String pool, PermitAction.QueueStalled stalled) {
        ComponentLog.OWNER.warn(String.format(
                Locale.ROOT,
                "Pool %s has granted nothing for %d ms while %d requests wait: %s.",
                pool,
                millis(stalled.stalledMicros()),
                stalled.waiting(),
                describe(stalled.upstreams())));
    }

    void log(String pool, PermitAction.DeadlineUnreachable refused, long nowMicros) {
        if (!isWithinRate(nowMicros)) {
            return;
        }
        DeadlineEstimate estimate = refused.estimate();
        ComponentLog.OWNER.info(String.format(
                Locale.ROOT,
                "Request %s can't meet its deadline in pool %s: %d ms left, expected wait %d ms and service %d ms, "
                        + "%d waiting, cost correction %.2f: %s; %d such lines were suppressed before.",
                refused.id().text(),
                pool,
                millis(estimate.remainingMicros()),
                millis(estimate.waitMicros()),
                millis(estimate.serviceMicros()),
                estimate.waiting(),
                estimate.costCorrection(),
                describe(estimate.upstreams()),
                suppressedLines));
        suppressedLines = 0;
    }

    private boolean isWithinRate(long nowMicros) {
        if (nowMicros / MICROS_PER_SECOND != currentSecond) {
            currentSecond = nowMicros / MICROS_PER_SECOND;
            linesInSecond = 0;
        }
        boolean within = linesInSecond++ < MAX_REQUEST_LINES_PER_SECOND;
        suppressedLines += within ? 0 : 1;
        return within;
    }

    private static String describe(List<UpstreamSnapshot> upstreams) {
        return upstreams.stream().map(DecisionLog::describe).collect(Collectors.joining(", "));
    }

    private static String describe(UpstreamSnapshot upstream) {
        return String.format(
                Locale.ROOT,
                "%s %s, limit %d, %d in flight, %d from others (report: %s), "
                        + "%.0f us an output token and %.0f us a prompt token (measured: %s)",
                upstream.name(),
                upstream.usable() ? "usable" : "not usable",
                upstream.limit(),
                upstream.inFlight(),
                upstream.otherLoad(),
                age(upstream.reportAgeMicros()),
                upstream.outputMicros(),
                upstream.prefillMicros(),
                age(upstream.measuredAgeMicros()));
    }

    private static String age(long micros) {
        return micros == UpstreamSnapshot.NEVER ? "never" : millis(micros) + " ms ago";
    }

    private static long millis(double micros) {
        return (long) (micros / 1_000);
    }
}
