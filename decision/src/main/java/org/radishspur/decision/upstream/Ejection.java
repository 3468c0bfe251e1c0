package org.radishspur.decision.upstream;

import org.radishspur.decision.permit.SchedulerOptions;

/**
 * Counts the failures of one upstream, and for how long it is ejected. Each further ejection in a row lasts twice as long,
 * up to a bound; enough answers after an ejection end the row.
 */
final class Ejection {
    /** From how many answers since its last ejection on an upstream is compared with others again. */
    private static final int MIN_ANSWERS_SINCE_EJECTION = 2;

    private final SchedulerOptions options;
    private long ejectedUntil;
    private boolean unreachable;
    private int consecutiveEjections;
    private int consecutiveFailures;
    private int answersSinceEjection;

    Ejection(SchedulerOptions options) {
        this.options = options;
    }

    void recordAnswer() {
        consecutiveFailures = 0;
        answersSinceEjection++;
        if (answersSinceEjection > options.failuresToEject()) {
            consecutiveEjections = 0;
        }
    }

    /** Records a failure, and returns whether the upstream has to be ejected for it. */
    boolean recordFailure() {
        consecutiveFailures++;
        return consecutiveFailures >= options.failuresToEject()
                || answersSinceEjection == 0 && consecutiveEjections > 0;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Begins an ejection at a time in microseconds. */
    void begin(boolean asUnreachable, long now) {
        unreachable = asUnreachable;
        long duration = options.firstEjectionMicros() << Math.min(consecutiveEjections, Integer.SIZE / 2);
        ejectedUntil = now + Math.min(duration, options.maxEjectionMicros());
        consecutiveEjections++;
        consecutiveFailures = 0;
        answersSinceEjection = 0;
    }

    /** Ends the ejection; it still counts as the last of a row. */
    void end() {
        ejectedUntil = 0;
    }

    /** Ends the ejection of an earlier incarnation, and resets its failures in a row. */
    void onRestart() {
        ejectedUntil = 0;
        consecutiveFailures = 0;
    }

    /** Returns when the ejection ends, in microseconds, which is in the past where there is none. */
    long until() {
        return ejectedUntil;
    }

    /** Returns whether the last ejection was because no connection could be made. */
    boolean wasUnreachable() {
        return unreachable;
    }

    /** Returns whether enough answers have come since the last ejection of a row for a comparison with others. */
    boolean isMeasuredSince() {
        return consecutiveEjections == 0 || answersSinceEjection >= MIN_ANSWERS_SINCE_EJECTION;
    }
}
