package org.radishspur.node.entry;

import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.node.caller.RetryBudget;

/**
 * Counts how often one request may have run, and decides whether it may be sent to another upstream, within its route, its
 * deadline and the retry budget of its pool. The traffic thread owns it.
 */
final class RequestRuns {
    /** The minimum time until the deadline for another attempt, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 60;

    private final EntryExchange exchange;
    private final EntryServices services;
    private final CrashCheck crashCheck;
    private int possibleRuns;
    private int sendings;

    RequestRuns(EntryExchange exchange, EntryServices services, CrashCheck crashCheck) {
        this.exchange = exchange;
        this.services = services;
        this.crashCheck = crashCheck;
    }

    /** Counts the request as possibly run, since it is being sent. */
    void onSent() {
        possibleRuns++;
        sendings++;
    }

    /** Returns how often the request was sent. */
    int sendings() {
        return sendings;
    }

    /** Takes back a run, since the upstream is certain not to have run the request. */
    void onNotRun() {
        possibleRuns--;
    }

    /** Returns whether any upstream may have run the request. */
    boolean arePossible() {
        return possibleRuns > 0;
    }

    /** Decides whether the request may be sent to another upstream, leaving aside the budget and suspected crashes. */
    RetryVerdict verdict() {
        if (!exchange.route().isRepeatable()) {
            return RetryVerdict.NOT_REPEATABLE;
        }
        if (possibleRuns >= exchange.route().maxUpstreams()) {
            return RetryVerdict.ALL_UPSTREAMS_USED;
        }
        if (exchange.route().kind() != RequestKind.STREAM && exchange.response().isHeadWritten()) {
            return RetryVerdict.RESPONSE_BEGUN;
        }
        return isTimeLeft() ? RetryVerdict.ALLOWED : RetryVerdict.DEADLINE_NEAR;
    }

    /** Returns whether the request may be sent to another upstream although it may have run already. */
    boolean isRetryAllowed() {
        return verdict() == RetryVerdict.ALLOWED;
    }

    /** Returns whether the request may be sent to another upstream after one that is certain not to have run it. */
    boolean isNextAttemptAllowed() {
        return arePossible() ? isRetryAllowed() : isTimeLeft();
    }

    private boolean isTimeLeft() {
        return exchange.remainingMillis() > MIN_RETRY_MILLIS;
    }

    /** Decides whether the request may be sent to another upstream, and takes a retry from the budget if so. */
    RetryVerdict takeRetry() {
        RetryVerdict verdict = verdict();
        if (verdict == RetryVerdict.ALLOWED && !crashCheck.mayRetry()) {
            return RetryVerdict.CRASH_SUSPECT;
        }
        return verdict == RetryVerdict.ALLOWED && !budget().tryTake() ? RetryVerdict.OVER_BUDGET : verdict;
    }

    /** Reserves a retry for a second attempt if the request may be sent to another upstream, and returns whether it did. */
    boolean tryReserveRetry() {
        return isRetryAllowed() && crashCheck.mayRetry() && budget().tryReserve();
    }

    /** Returns the retry budget of the pool of the request. */
    RetryBudget budget() {
        return services.retryBudget(exchange.routed().pool());
    }
}
