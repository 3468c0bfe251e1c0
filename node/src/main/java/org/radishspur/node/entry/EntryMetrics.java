package org.radishspur.node.entry;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Holds the metrics of an entry: counters of refused, failed and retried requests by reason, and timers of slot waits
 * and responses.
 */
final class EntryMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Timer firstByteTime = registry.timer("answers.first-byte");
    private final Timer responseTime = registry.timer("answers.whole");
    private final Timer slotWait = registry.timer("requests.waited");
    private final Timer lostSchedulerWait = registry.timer("requests.waited-for-lost-scheduler");
    private final Counter localGrants = registry.counter("slots.granted-locally");

    MetricRegistry registry() {
        return registry;
    }

    void countRefused(String reason) {
        registry.counter("requests.refused." + reason).inc();
    }

    void countFailed(String reason) {
        registry.counter("requests.failed." + reason).inc();
    }

    void countRetried(String reason) {
        registry.counter("requests.retried." + reason).inc();
    }

    /** Counts a response of another request that arrived where that of a request was due. */
    void countExtraResponse() {
        registry.counter("answers.extra").inc();
    }

    /** Counts a request whose upstream has sent nothing for some time. */
    void countSilent() {
        registry.counter("requests.silent").inc();
    }

    /** Counts a change of the state of a second attempt of a request. */
    void countHedged(String state) {
        registry.counter("requests.hedged." + state).inc();
    }

    /** Counts a second attempt of a request with a silent upstream that was not sent. */
    void countHedgeNotSent(String cause) {
        registry.counter("requests.hedge-not-sent." + cause.replace(' ', '-')).inc();
    }

    /** Counts a request that was withdrawn from its upstream, because such requests end upstreams. */
    void countWithdrawn() {
        registry.counter("requests.withdrawn").inc();
    }

    /** Counts a time in which connections are refused because the link is full. */
    void countRefusing() {
        registry.counter("connections.refusing").inc();
    }

    /** Counts a request that waits for memory before its body is read. */
    void countPausedBody() {
        registry.counter("memory.paused.requests").inc();
    }

    /** Counts a time in which a response isn't read from its upstream because of what its caller hasn't taken. */
    void countPausedResponse() {
        registry.counter("memory.paused.responses").inc();
    }

    /** Counts a complete response that its caller hasn't taken by its deadline. */
    void countUnread() {
        registry.counter("answers.unread").inc();
    }

    void recordSlotWait(long millis) {
        slotWait.update(millis, TimeUnit.MILLISECONDS);
    }

    /** Records how long one request has waited for a scheduler that did not reply, in milliseconds. */
    void recordLostSchedulerWait(long millis) {
        lostSchedulerWait.update(millis, TimeUnit.MILLISECONDS);
    }

    /** Counts a slot that this entry has granted by itself. */
    void countLocalGrant() {
        localGrants.inc();
    }

    void recordAnswered(long firstMillis, long millis) {
        firstByteTime.update(firstMillis, TimeUnit.MILLISECONDS);
        responseTime.update(millis, TimeUnit.MILLISECONDS);
    }

    /** Counts a response whose end was shown only by the close of the connection to its upstream. */
    void countEndedByClose() {
        registry.counter("answers.ended-by-close").inc();
    }

    void countDisconnected() {
        registry.counter("requests.left").inc();
    }
}
