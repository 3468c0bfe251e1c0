package org.radishspur.node.metrics;

import java.util.EnumMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.error.RetryReason;

/**
 * Holds the counters and timers of one node of radishspur-node. Every refusal reason, retry reason and error code has a
 * counter from the start, so that one that never occurred is shown as 0.
 */
public final class NodeMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
    private final Map<ErrorCode, Counter> errors = new EnumMap<>(ErrorCode.class);
    private final Counter answered = registry.counter("requests.answered");
    private final Counter replayed = registry.counter("requests.replayed");
    private final Counter truncated = registry.counter("requests.truncated");
    private final Counter extraAnswers = registry.counter("answers.extra");
    private final Counter silent = registry.counter("requests.silent");
    private final Counter localOnlyClaims = registry.counter("claims.local-only");
    private final Counter retriesOverBudget = registry.counter("retries.over-budget");
    private final Timer claimTime = registry.timer("claims.time");
    private final Timer permitTime = registry.timer("permits.time");

    /**
     * Creates the counters, all 0.
     */
    public NodeMetrics() {
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, registry.counter("refusals." + reason.code()));
        }
        for (RetryReason reason : RetryReason.values()) {
            retries.put(reason, registry.counter("retries." + reason.code()));
        }
        for (ErrorCode code : ErrorCode.values()) {
            errors.put(code, registry.counter("errors." + code.code()));
        }
    }

    /**
     * Returns the registry, to which gauges are added and from which reports are written.
     *
     * @return the registry.
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Counts a refusal.
     *
     * @param reason its reason.
     */
    public void countRefused(RefusalReason reason) {
        refusals.get(reason).inc();
    }

    /**
     * Counts a retry.
     *
     * @param reason its reason.
     */
    public void countRetried(RetryReason reason) {
        retries.get(reason).inc();
    }

    /** Counts a retry that was not made, because the retry budget was used up. */
    public void countRetryOverBudget() {
        retriesOverBudget.inc();
    }

    /**
     * Counts an error.
     *
     * @param code its code.
     */
    public void countError(ErrorCode code) {
        errors.get(code).inc();
    }

    /** Counts an answer of an upstream that was delivered to its caller in full. */
    public void countAnswered() {
        answered.inc();
    }

    /** Counts a stored answer that was sent to a caller that retried its request. */
    public void countReplayed() {
        replayed.inc();
    }

    /** Counts an answer that was cut off after it had begun. */
    public void countTruncated() {
        truncated.inc();
    }

    /** Counts an answer to another request that an upstream sent where the one to a request was due. */
    public void countExtraAnswer() {
        extraAnswers.inc();
    }

    /** Counts a silence of an upstream that lasts longer than the time allowed. */
    public void countSilent() {
        silent.inc();
    }

    /** Counts a claim that only this node holds, because the control leader was unreachable. */
    public void countLocalClaim() {
        localOnlyClaims.inc();
    }

    /**
     * Returns the timer of claims, each from its request until the answer or the failure.
     *
     * @return the timer.
     */
    public Timer claimTime() {
        return claimTime;
    }

    /**
     * Returns the timer of granted permits, each from its request until the grant.
     *
     * @return the timer.
     */
    public Timer permitTime() {
        return permitTime;
    }
}
