package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.radishspur.model.catalogue.Upstream;

/**
 * Represents one request for a slot at an upstream, at a scheduler.
 */
public final class QueuedRequest {
    private final String name;
    private final int rank;
    private final long arrivedAt;
    private final long callerWaitsUntil;
    private long queueingDeadline;
    private long latestStart;
    private long latestFastStart;
    private long virtualDeadline;
    private long toleratedDelayMillis;
    private boolean demoted;
    private long expectedWaitMillis;
    private final VersionRule versions;
    private final Requirements requirements;
    private final Set<String> avoidedRuns = new HashSet<>();
    private final Map<Integer, Long> restsUntil = new HashMap<>();
    private String entryDomain = "";
    private RequestTerms terms = RequestTerms.NONE;
    private long sequence;
    private long cachedTokens;
    private boolean heldBack;
    private boolean everHeldBack;
    private boolean leavesFreeSlots;

    /**
     * Creates a request.
     *
     * @param name the name of the request in logs.
     * @param rank how urgent its organisation is; 0 is the most urgent.
     * @param arrivedAt when the request arrived, in milliseconds of the scheduler's clock.
     * @param queueingDeadline until when the request may wait for a slot, on the same clock; its caller waits as long for the
     *     first byte, and until the target at least.
     * @param versions the versions that may serve it.
     * @param requirements the size of the request, and its deadlines.
     */
    public QueuedRequest(
            String name,
            int rank,
            long arrivedAt,
            long queueingDeadline,
            VersionRule versions,
            Requirements requirements) {
        this.name = name;
        this.rank = rank;
        this.arrivedAt = arrivedAt;
        this.queueingDeadline = queueingDeadline;
        callerWaitsUntil = Math.max(queueingDeadline, requirements.targetAt());
        this.versions = versions;
        this.requirements = requirements;
        demoted = arrivedAfterTarget();
        latestStart = requirements.targetAt();
        latestFastStart = requirements.targetAt();
        virtualDeadline = queueingDeadline;
    }

    /**
     * Excludes an upstream, unless no other one can serve the request.
     *
     * @param run the run of the upstream.
     */
    public void avoidUpstream(String run) {
        avoidedRuns.add(run);
    }

    /**
     * Excludes an upstream for a time, for which it has asked the entry of this request to send it nothing.
     *
     * @param upstream the hash code of the run of the upstream.
     * @param until the end of that time, in milliseconds of the scheduler's clock.
     */
    public void excludeUntil(int upstream, long until) {
        restsUntil.merge(upstream, until, Math::max);
    }

    /** Returns until when an upstream is excluded, a time that has passed for most. */
    long excludedUntil(String run) {
        return restsUntil.isEmpty() ? Long.MIN_VALUE : restsUntil.getOrDefault(run.hashCode(), Long.MIN_VALUE);
    }

    /**
     * Sets the failure domain of the entry node that proxies the request. Upstreams there are preferred, because
     * traffic between failure domains is charged for.
     *
     * @param failureDomain the failure domain; empty for that of the scheduler.
     */
    public void setEntryDomain(String failureDomain) {
        entryDomain = failureDomain;
    }

    String entryDomainOr(String defaultDomain) {
        return entryDomain.isEmpty() ? defaultDomain : entryDomain;
    }

    /**
     * Sets what the route and the organisation state about how the request has to be served.
     *
     * @param stated the terms.
     */
    public void setTerms(RequestTerms stated) {
        terms = stated;
    }

    /** Returns what the route and the organisation state about how the request has to be served. */
    RequestTerms terms() {
        return terms;
    }

    /**
     * Returns the name of the request.
     *
     * @return the name.
     */
    public String name() {
        return name;
    }

    /**
     * Returns how urgent the request's organisation is.
     *
     * @return the rank; 0 is the most urgent.
     */
    public int rank() {
        return rank;
    }

    /**
     * Returns when the request arrived.
     *
     * @return the time in milliseconds of the scheduler's clock.
     */
    public long arrivedAt() {
        return arrivedAt;
    }

    /**
     * Returns how many prompt tokens the chosen upstream probably has to process.
     *
     * @return the tokens that are not in its prefix cache.
     */
    public long uncachedTokens() {
        return requirements.promptTokens() - cachedTokens;
    }

    void setCachedTokens(long tokens) {
        cachedTokens = tokens;
    }

    /** Returns whether the request got no slot lately because it would have held up streams. */
    boolean isHeldBack() {
        return heldBack;
    }

    /**
     * Sets whether the request gets no slot because it would hold up streams.
     *
     * @return whether that is so for the first time.
     */
    boolean setHeldBack(boolean value) {
        heldBack = value;
        boolean isFirst = value && !everHeldBack;
        everHeldBack |= value;
        return isFirst;
    }

    long queueingDeadline() {
        return queueingDeadline;
    }

    /**
     * Returns the size of the request and its deadlines.
     *
     * @return the size and the deadlines.
     */
    public Requirements requirements() {
        return requirements;
    }

    /** Returns whether the request arrived after its target, such as another attempt after an upstream failed, or has none. */
    boolean arrivedAfterTarget() {
        return requirements.targetAt() <= arrivedAt;
    }

    /** Returns whether the request is ordered behind those that can be on time. */
    boolean isDemoted() {
        return demoted;
    }

    /** Returns whether a slot would come too late for an answer on time. */
    boolean isPastLatestStart(long now) {
        return now > latestStart;
    }

    /** Returns whether a slot would come so late that the request goes behind those that can be on time. */
    boolean losesPlace(long now) {
        return now > latestStart + toleratedDelayMillis;
    }

    /** Sets by how much a slot may come too late for an answer on time before the request loses its place, in milliseconds. */
    void tolerateDelay(long millis) {
        toleratedDelayMillis = millis;
    }

    /** Orders the request behind those that can be on time; it must not be in the queue during this call. */
    void demote() {
        demoted = true;
    }

    /** Sets until when a slot of the fastest upstream must be granted for an answer on time. */
    void setLatestFastStart(long time) {
        latestFastStart = time;
    }

    /** Sets until when a slot must be granted for an answer on time. */
    void setLatestStart(long time) {
        latestStart = time;
    }

    /** Returns until when the caller waits for the first byte, on the scheduler's clock. */
    long callerWaitsUntil() {
        return callerWaitsUntil;
    }

    /** Ends the wait for a slot when one would come too late for the work that is left, on the scheduler's clock. */
    void limitWait(long waitUntil) {
        queueingDeadline = Math.max(arrivedAt, Math.min(queueingDeadline, waitUntil));
    }

    /** Returns whether this request is served before another one of any class that can't be on time. */
    boolean isServedBeforeWhenLate(QueuedRequest late) {
        if (rank != late.rank || tier() != late.tier()) {
            return rank < late.rank || rank == late.rank && tier() < late.tier();
        }
        return !demoted || queueingDeadline <= late.queueingDeadline;
    }

    /** Returns how long the request was expected to wait when it was queued, in milliseconds. */
    long expectedWaitMillis() {
        return expectedWaitMillis;
    }

    /** Sets how long the request is expected to wait, in milliseconds. */
    void setExpectedWaitMillis(long millis) {
        expectedWaitMillis = millis;
    }

    /** Returns until when a slot must be granted for an answer on time. */
    long latestStart() {
        return latestStart;
    }

    /** Returns the time by which the request is ordered among those of its tier. */
    long virtualDeadline() {
        return virtualDeadline;
    }

    /** Sets the time by which the request is ordered among those of its tier, on the scheduler's clock. */
    void setVirtualDeadline(long time) {
        virtualDeadline = time;
    }

    /**
     * Returns whether the request is a plain call, as far as its size tells.
     *
     * @return whether it has no prompt and no answer to generate.
     */
    public boolean isPlainCall() {
        return requirements.promptTokens() == 0 && requirements.outputTokens() == 0 && requirements.outputLimit() == 0;
    }

    /** Returns the time from the arrival until the target, or until the deadline after the target, in milliseconds. */
    long wantedWithinMillis() {
        return (arrivedAfterTarget() ? requirements.endsAt() : requirements.targetAt()) - arrivedAt;
    }

    /** Returns the time for which the request is assumed to hold a slot until the pool has measured it, in milliseconds: until
     * its target for a plain call, until its deadline for a stream. */
    long assumedHoldMillis() {
        return isPlainCall() ? wantedWithinMillis() : requirements.endsAt() - arrivedAt;
    }

    /**
     * Returns until when an upstream that is likely to answer on time is waited for, on the scheduler's clock, where there
     * is one whose slots are taken: as long as the fastest could still be on time and the request may wait.
     */
    long selectiveUntil() {
        return Math.min(latestFastStart, queueingDeadline);
    }

    /** Returns whether an upstream is waited for that is likely to answer on time. */
    boolean isSelective(long now) {
        return now < selectiveUntil();
    }

    /** Returns whether the request got no slot lately though one was free, as it waits for a better one. */
    boolean leavesFreeSlots() {
        return leavesFreeSlots;
    }

    /** Sets whether the request gets no slot though one is free. */
    void setLeavesFreeSlots(boolean value) {
        leavesFreeSlots = value;
    }

    /** Returns whether an upstream may run the request, by its version and its failure domain. */
    boolean allows(Upstream upstream) {
        return versions.allows(upstream.version()) && terms.allowsDomain(upstream.failureDomain());
    }

    /** Returns whether some failure domain may run both this request and another one; versions aren't compared. */
    boolean competesWith(QueuedRequest other) {
        return terms.sharesDomainWith(other.terms);
    }

    VersionRule versions() {
        return versions;
    }

    boolean avoids(String run) {
        return avoidedRuns.contains(run);
    }

    long sequence() {
        return sequence;
    }

    /** Sets the number by which requests that are alike keep their order; it must not be in the queue during this call. */
    void setSequence(long number) {
        sequence = number;
    }

    /** Returns the tier of the route, without the rank of the organisation; 0 is the most urgent. */
    int tier() {
        return requirements.tier();
    }

    /**
     * Describes the size of a request and its deadlines.
     *
     * @param promptTokens the tokens of the prompt, 0 for a plain call.
     * @param outputTokens how many tokens the caller expects; 0 where it doesn't state it, and for a plain call.
     * @param outputLimit how many tokens the answer can have at most; 0 where the caller doesn't state it.
     * @param tier the tier of the route, without the rank of the organisation; slots are reserved by it. 0 is the most
     * urgent.
     * @param targetAt when the first byte is due for the answer to have its full value, in milliseconds of the
     * scheduler's clock.
     * @param endsAt when the answer must be complete to have any value, on the same clock.
     * @param prefix the beginning of the prompt that other requests share.
     */
    public record Requirements(
            long promptTokens,
            long outputTokens,
            long outputLimit,
            int tier,
            long targetAt,
            long endsAt,
            Prefix prefix) {

        /**
         * Describes a request without a shared prefix and without a limit on the output.
         *
         * @param promptTokens the tokens of the prompt.
         * @param outputTokens how many tokens the caller expects.
         * @param tier the tier of the route, without the rank of the organisation.
         * @param targetAt when the first byte is due for the answer to have its full value.
         * @param endsAt when the answer must be complete to have any value.
         */
        public Requirements(long promptTokens, long outputTokens, int tier, long targetAt, long endsAt) {
            this(promptTokens, outputTokens, 0, tier, targetAt, endsAt, Prefix.NONE);
        }
    }

    /**
     * Identifies the beginning of a prompt that several requests share, and that an engine needn't process again while
     * it is in its prefix cache.
     *
     * @param id identifies the text.
     * @param tokens its length in tokens.
     */
    public record Prefix(String id, long tokens) {
        /** Represents a prompt that shares its beginning with no other. */
        public static final Prefix NONE = new Prefix("", 0);

        /**
         * Minimum length of a prefix for which an engine is preferred, in tokens; processing a shorter one again takes
         * a few milliseconds.
         */
        private static final long MIN_CACHED_TOKENS = 500;

        boolean isWorthCaching() {
            return tokens >= MIN_CACHED_TOKENS;
        }
    }
}
