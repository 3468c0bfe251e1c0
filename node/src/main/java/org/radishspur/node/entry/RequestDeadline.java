package org.radishspur.node.entry;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.node.dialect.CallerDialect;
import org.radishspur.node.dialect.CallerDialect.RequestHead;

/**
 * The deadline of one request, the timer for what it waits for next, and the retry-after of its refusal. The traffic thread
 * owns it.
 */
final class RequestDeadline {
    /**
     * The deadline of a request that states none, in milliseconds from its arrival; a route's timeout may end it
     * sooner.
     */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** The value of a deadline that isn't known, as the head wasn't read yet. */
    private static final long UNKNOWN = 0;

    private final EventLoop loop;
    private final CallerDialect dialect;
    private final long arrivedAt = EntryServices.now();
    private long deadlineAt = UNKNOWN;
    private ScheduledFuture<?> timer;

    /** Creates the deadline of a request that has just arrived. */
    RequestDeadline(EventLoop loop, CallerDialect dialect) {
        this.loop = loop;
        this.dialect = dialect;
    }

    /** Sets the deadline that a head states or implies, and returns it in milliseconds from the arrival. */
    long set(RequestHead head) {
        long statedMillis = head.deadlineMillis() > 0 ? head.deadlineMillis() : DEFAULT_DEADLINE_MILLIS;
        deadlineAt = arrivedAt + statedMillis;
        return statedMillis;
    }

    /** Bounds the deadline by a timeout from the arrival, in milliseconds. */
    void limit(long timeoutMillis) {
        deadlineAt = Math.min(deadlineAt, arrivedAt + timeoutMillis);
    }

    /** Returns when the request arrived, by {@link EntryServices#now()}. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns when the request has to have ended, by {@link EntryServices#now()}. */
    long deadlineAt() {
        return deadlineAt;
    }

    /** Returns the time since the arrival, in milliseconds. */
    long elapsedMillis() {
        return EntryServices.now() - arrivedAt;
    }

    /** Returns the time until the deadline in milliseconds, at least 1. */
    long remainingMillis() {
        return Math.max(1, deadlineAt - EntryServices.now());
    }

    /** Returns the time that the caller has for reading the response, in milliseconds. */
    long responseMillis() {
        return deadlineAt == UNKNOWN ? DEFAULT_DEADLINE_MILLIS : remainingMillis();
    }

    /** Runs an action at the deadline, unless it is cancelled. */
    void schedule(Runnable action) {
        schedule(action, remainingMillis());
    }

    /** Runs an action after a time in milliseconds, unless it is cancelled. */
    void schedule(Runnable action, long millis) {
        timer = loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** Cancels the scheduled action, if there is one. */
    void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Returns a time after which to retry, in milliseconds, bounded by the maximum that the caller heeds; at least 1. */
    long boundRetryAfter(long millis) {
        return Math.max(1, Math.min(millis, maxRetryAfter()));
    }

    /** Returns the maximum retry-after in milliseconds, for refusals whose cause won't end by itself. */
    long maxRetryAfter() {
        return Math.max(1, dialect.maxRetryAfterMillis(deadlineAt - EntryServices.now()));
    }
}
