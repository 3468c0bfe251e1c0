package org.radishspur.decision.dispatch;

import org.radishspur.decision.upstream.EventGroup;

/**
 * Ejects one upstream after failures, failed connections and broken connections, and puts it on probation until it has
 * answered again.
 */
final class UpstreamHealth {
    /** Weight of the newest answer in the failure share; five failures in a row bring it above one half. */
    private static final double FAILURE_AVERAGE_WEIGHT = 0.15;

    /** Number of answers from which the failure share counts. */
    private static final long MIN_OUTCOMES = 5;

    /** By how much the failure share must exceed the usual one of the pool to eject the upstream. */
    private static final double MAX_EXCESS_FAILURES = 0.25;

    /** Number of failures in a row that eject an upstream, whatever its failure share. */
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

    /** How long an upstream is ejected for failures, in milliseconds; long enough to spare about ten requests. */
    private static final long FAILURE_EJECTION_MILLIS = 1_500;

    /** Ejection time after the first failed connection, in milliseconds; it doubles with each further one. */
    private static final long MIN_CONNECT_EJECTION_MILLIS = 200;

    /**
     * Maximum ejection time after a failed connection, in milliseconds; a restarted upstream is found again by then.
     */
    private static final long MAX_CONNECT_EJECTION_MILLIS = 1_600;

    /** Number of doublings of the ejection time beyond which it exceeds its maximum in any case. */
    private static final int MAX_DOUBLINGS = 5;

    private final MovingAverage failures = new MovingAverage(FAILURE_AVERAGE_WEIGHT);
    private final EventGroup breaks = new EventGroup();
    private int consecutiveFailures;
    private int connectFailures;
    private long ejectedUntil;
    private boolean onProbation;
    private boolean unreachable;

    /** Records an answer that was complete and no failure of the upstream. */
    void recordSuccess() {
        failures.add(0);
        consecutiveFailures = 0;
        connectFailures = 0;
        unreachable = false;
        onProbation = false;
    }

    /**
     * Records a failure, and ejects the upstream after too many.
     *
     * @param poolFailures the usual failure share in the pool, which the requests themselves may cause.
     * @param now the current time in milliseconds.
     */
    void recordFailure(double poolFailures, long now) {
        failures.add(1);
        consecutiveFailures++;
        boolean failsOften =
                failures.samples() >= MIN_OUTCOMES && failures.value() > poolFailures + MAX_EXCESS_FAILURES;
        if (consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT || failsOften || onProbation) {
            ejectedUntil = now + FAILURE_EJECTION_MILLIS;
            onProbation = true;
        }
    }

    /**
     * Records that a connection broke, and returns whether it counts as a separate failure.
     *
     * <p>A fault of this host or its network resets many connections at once, several of them to the same upstream. If
     * each counted, they would eject a healthy upstream, as three failures in a row do. An upstream that is really down
     * is detected by the next connection attempt.
     */
    boolean recordConnectionBreak(long now) {
        return breaks.add(now);
    }

    /** Returns whether a connection that breaks now would count as a separate failure. */
    boolean isSeparateBreak(long now) {
        return breaks.hasEnded(now);
    }

    /** Records that a connection could not be made, and ejects the upstream. */
    void recordConnectFailure(long now) {
        long ejectionMillis = Math.min(
                MAX_CONNECT_EJECTION_MILLIS, MIN_CONNECT_EJECTION_MILLIS << Math.min(connectFailures, MAX_DOUBLINGS));
        connectFailures++;
        ejectedUntil = now + ejectionMillis;
        onProbation = true;
        unreachable = true;
    }

    boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    /** Returns whether the last connection attempt failed and no answer has come since. */
    boolean isUnreachable() {
        return unreachable;
    }

    /** Returns whether the upstream may get one request only, to test whether it has recovered. */
    boolean isOnProbation() {
        return onProbation;
    }

    double failureShare() {
        return failures.value();
    }
}
