package org.radishspur.decision.dispatch;

import org.radishspur.decision.upstream.RefusalBackoff;
import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.RequestLimit;
import org.radishspur.model.catalogue.Upstream;

/**
 * Tracks the state of one run of an upstream as seen by one scheduler: the requests in progress, how fast it answers,
 * and whether it is healthy enough for more.
 */
public final class UpstreamLoad {
    /** Weight of the newest answer in the average times; about ten answers outweigh the older ones. */
    private static final double TIME_AVERAGE_WEIGHT = 0.1;

    /**
     * Minimum time without a byte after which an upstream counts as silent, in milliseconds; healthy ones answer well
     * within it.
     */
    public static final long MIN_SILENCE_MILLIS = 600;

    /** Spreads hash codes that differ in their last bits only; the constant of Knuth's multiplicative hashing. */
    private static final int GOLDEN_RATIO = 0x9E3779B9;

    /**
     * The time for which an upstream that has said that it leaves may still serve where no other one can, in milliseconds;
     * it goes on serving for some seconds.
     */
    private static final long LEAVING_USE_MILLIS = 1_000;

    private static final long NOT_LEAVING = Long.MAX_VALUE;

    private Upstream upstream;
    private final String run;
    private final double preference;
    private boolean listed = true;
    private final RequestsInProgress ownRequests = new RequestsInProgress();
    private long lastSentAt = Long.MIN_VALUE / 2;
    private final PeerTotal peerInProgress = new PeerTotal();
    private final FirstByteModel firstByte = new FirstByteModel();
    private final FirstByteModel poolFirstByte;
    private final StreamPauses pauses;
    private boolean usesPoolTimes;
    private ColdStartLimit coldLimit = new ColdStartLimit(ColdStart.NONE);
    private final RequestLimiter limiter = new RequestLimiter();
    private final RefusalBackoff refusals = new RefusalBackoff();
    private final MovingAverage eventMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);
    private final UpstreamHealth health = new UpstreamHealth();
    private double peerEventMillis;
    private boolean replaced;
    private long leavingSince = NOT_LEAVING;
    private final UnansweredRequests unanswered = new UnansweredRequests();
    private final PeerTotal peerPendingTokens = new PeerTotal();
    private final AnswerSilence silence = new AnswerSilence(unanswered);

    /**
     * Creates the load of an upstream without requests.
     *
     * @param upstream the upstream.
     * @param poolFirstByte the times to first byte in the whole pool, as multiples of each upstream's time per event.
     * @param pauses the times for which prompts are read, in the whole pool.
     * @param scheduler the name of the scheduler, from which its slight preference among upstreams is derived.
     */
    UpstreamLoad(Upstream upstream, FirstByteModel poolFirstByte, StreamPauses pauses, String scheduler) {
        this.upstream = upstream;
        this.poolFirstByte = poolFirstByte;
        this.pauses = pauses;
        run = upstream.runId();
        int hash = (scheduler + run).hashCode() * GOLDEN_RATIO;
        preference = (hash >>> 1) / (double) Integer.MAX_VALUE;
    }

    /**
     * Returns the run of the upstream.
     *
     * @return an identifier that is unique to this run.
     */
    public String run() {
        return run;
    }

    /** Returns the preference of this scheduler for this upstream, a constant number from 0 to 1; less is preferred. */
    double preference() {
        return preference;
    }

    /** Sets whether the host list still names the upstream. */
    void setListed(boolean present) {
        listed = present;
    }

    boolean isListed() {
        return listed;
    }

    /**
     * Returns the latest description of the upstream.
     *
     * @return the description.
     */
    public Upstream upstream() {
        return upstream;
    }

    void update(Upstream newer) {
        // An upstream that is draining stays so: a stale host list may show it as live after a newer one showed it as
        // draining.
        upstream = newer.withDraining(upstream.draining() || newer.draining());
    }

    /**
     * Records that a request was sent to the upstream.
     *
     * @param request identifies the request.
     * @param promptTokens the tokens of its prompt that the upstream has to process.
     * @param now the current time in milliseconds.
     */
    public void recordSent(Object request, long promptTokens, long now) {
        limiter.recordSent(now);
        recordHeld(request, promptTokens, now);
    }

    /**
     * Records a request in progress that an entry had sent before it attached to this scheduler.
     *
     * @param request identifies the request.
     * @param promptTokens the tokens of its prompt that the upstream may still have to process.
     * @param now the current time in milliseconds.
     */
    public void recordHeld(Object request, long promptTokens, long now) {
        ownRequests.add(request, now);
        lastSentAt = now;
        coldLimit.recordSent(now);
        silence.recordSending(now);
        unanswered.add(request, promptTokens, pendingTokens(), now);
    }

    /**
     * Records the first byte of the answer to a request.
     *
     * @param request identifies the request.
     * @param promptTokens the tokens of its prompt that the upstream had to process.
     * @param millis the time since the request was sent, in milliseconds.
     * @param now the current time in milliseconds.
     */
    public void recordFirstByte(Object request, long promptTokens, long millis, long now) {
        long tokensAhead = unanswered.remove(request);
        silence.recordFirstByte(millis, now);
        firstByte.add(promptTokens + tokensAhead, millis);
        if (isEventTimeKnown()) {
            poolFirstByte.add(promptTokens + tokensAhead, millis / eventMillis());
            pauses.recordFirstByte(promptTokens, tokensAhead, millis / eventMillis());
        }
    }

    /**
     * Records that the upstream has sent bytes.
     *
     * @param now the current time in milliseconds.
     */
    public void recordBytes(long now) {
        silence.recordBytes(now);
    }

    /**
     * Records that a request has ended, with any outcome.
     *
     * @param request identifies the request.
     */
    public void recordEnd(Object request) {
        ownRequests.remove(request);
        unanswered.remove(request);
    }

    /**
     * Records the time per event of a complete answer.
     *
     * @param millis the time from the first byte to the last, or for a plain call the total time, in milliseconds.
     * @param events the events of the stream; 1 for a plain call.
     */
    public void recordEventTime(double millis, long events) {
        eventMillis.add(millis / Math.max(1, events));
    }

    /**
     * Records the time per event that another scheduler has measured, which is used until this one has measured it.
     *
     * @param millis the time per event in milliseconds, 0 where it is unknown to the other scheduler.
     */
    public void recordPeerEventTime(double millis) {
        peerEventMillis = millis > 0 ? millis : peerEventMillis;
    }

    /**
     * Returns the time per event that this scheduler has measured itself.
     *
     * @return the time in milliseconds, 0 where it is not known.
     */
    public double ownEventMillis() {
        return eventMillis.isKnown() ? eventMillis.value() : 0;
    }

    /** Records that another instance answers at the address, so that this one is gone. */
    public void markReplaced() {
        replaced = true;
    }

    /**
     * Records that the upstream says that it leaves, which its run doesn't take back.
     *
     * @param now the current time in milliseconds.
     */
    public void markLeaving(long now) {
        leavingSince = Math.min(leavingSince, now);
    }

    /** Returns whether the upstream has said that it leaves. */
    boolean isLeaving() {
        return leavingSince != NOT_LEAVING;
    }

    /** Returns whether the upstream has said so long ago that it must get no more requests. */
    boolean hasLeft(long now) {
        return isLeaving() && now - leavingSince >= LEAVING_USE_MILLIS;
    }

    /** Sets whether the times of the whole pool are used until this upstream has answered often enough here. */
    void setUsesPoolTimes(boolean uses) {
        usesPoolTimes = uses;
    }

    /** Sets the cold start limit of the upstream. */
    void setColdStart(ColdStart rule) {
        coldLimit = new ColdStartLimit(rule);
    }

    /** Records that the upstream may have just restarted, before the host list shows it. */
    void recordPossibleRestart(long now) {
        coldLimit.recordPossibleRestart(now);
    }

    /**
     * Returns whether the upstream is limited as cold. An unreachable one counts as cold: it has probably restarted
     * when it is reachable again, some time before the host list shows it.
     */
    boolean isCold(long now) {
        return coldLimit.isLimited() && (upstream.cold() || health.isUnreachable() || coldLimit.mayBeCold(now));
    }

    /** Sets how this scheduler shares the limit that the upstream may state. */
    void setLimitTurns(RequestLimiter.Turns turns) {
        limiter.setTurns(turns);
    }

    /**
     * Records what a response of the upstream stated about its limit.
     *
     * @param stated the limit, or that there is none.
     * @param ageMillis how long ago the response arrived, in milliseconds.
     * @param now the current time in milliseconds.
     * @return whether the limit has changed.
     */
    public boolean recordStatedLimit(RequestLimit stated, long ageMillis, long now) {
        return limiter.recordStatement(stated, now - ageMillis, now);
    }

    /**
     * Records how many requests another scheduler has sent to the upstream since that scheduler started.
     *
     * @param scheduler the other scheduler.
     * @param total the number.
     * @param now the current time in milliseconds.
     */
    public void recordPeerSent(String scheduler, long total, long now) {
        limiter.recordPeerSent(scheduler, total, now);
    }

    /**
     * Removes what another scheduler has reported, once that scheduler is gone.
     *
     * @param scheduler the other scheduler.
     */
    public void forgetPeerSent(String scheduler) {
        limiter.forgetPeer(scheduler);
    }

    /**
     * Sets how many of the schedulers report what they send, so that those leave room for the others where the upstream
     * states a limit.
     *
     * @param share the share of the schedulers that have reported lately, this one included, above 0.
     * @param now the current time in milliseconds.
     */
    public void setReportingShare(double share, long now) {
        limiter.setReportingShare(share, now);
    }

    /**
     * Returns how many requests this scheduler has sent to the upstream since it started.
     *
     * @return the number.
     */
    public long ownSent() {
        return limiter.ownSent();
    }

    /**
     * Returns the limit that the upstream states.
     *
     * @return the limit, or that there is none.
     */
    public RequestLimit statedLimit() {
        return limiter.limit();
    }

    /**
     * Returns whether the upstream states a limit or has stated one.
     *
     * @return whether other schedulers have to receive the limit or its end.
     */
    public boolean wasEverLimited() {
        return limiter.wasEverLimited();
    }

    /**
     * Returns how long ago the upstream stated its limit, or responded without it and so ended it.
     *
     * @param now the current time in milliseconds.
     * @return the time in milliseconds.
     */
    public long statedLimitAgeMillis(long now) {
        return limiter.statementAgeMillis(now);
    }

    boolean isLimited() {
        return limiter.isLimited();
    }

    /**
     * Returns whether one more request stays within the limit that the upstream states.
     *
     * @param now the current time in milliseconds.
     * @return whether it does, or no limit is stated.
     */
    public boolean allowsLimitedRequest(long now) {
        return limiter.allows(now);
    }

    /** Returns whether one more request stays within the rate that the upstream can serve while it is cold. */
    boolean allowsColdRequest(long now) {
        return coldLimit.allows(now);
    }

    /**
     * Records that the upstream turned a request away.
     *
     * @param now the current time in milliseconds.
     */
    public void recordRefusal(long now) {
        refusals.recordRefusal(now);
    }

    /** Returns whether the upstream has turned so many requests away that it gets one only, as a test. */
    boolean isTestedAfterRefusals() {
        return refusals.isTesting();
    }

    /** Returns until when the upstream gets no request, as it turns requests away. */
    long refusesUntil() {
        return refusals.until();
    }

    boolean isReplaced() {
        return replaced;
    }

    /**
     * Records the outcome of an answer that this scheduler or another one received, and ejects the upstream after too
     * many failures.
     *
     * @param success whether the answer was complete and no failure of the upstream.
     * @param poolFailures the usual failure share in the pool, which the requests themselves may cause.
     * @param now the current time in milliseconds.
     */
    public void recordOutcome(boolean success, double poolFailures, long now) {
        refusals.recordRun();
        if (!success) {
            health.recordFailure(poolFailures, now);
            return;
        }
        if (health.isUnreachable()) {
            coldLimit.recordPossibleRestart(now);
        }
        health.recordSuccess();
    }

    /**
     * Records that a connection broke, and returns whether it counts as a separate failure.
     *
     * @param now the current time in milliseconds.
     * @return whether it counts, rather than being part of the previous break.
     */
    public boolean recordConnectionBreak(long now) {
        return health.recordConnectionBreak(now);
    }

    /**
     * Returns whether a connection that breaks now would count as a separate failure.
     *
     * @param now the current time in milliseconds.
     * @return whether no other connection broke just before.
     */
    public boolean isSeparateBreak(long now) {
        return health.isSeparateBreak(now);
    }

    /**
     * Records that a connection could not be made, and ejects the upstream.
     *
     * @param now the current time in milliseconds.
     */
    public void recordConnectFailure(long now) {
        health.recordConnectFailure(now);
    }

    /**
     * Records how many requests another scheduler has in progress at the upstream.
     *
     * @param scheduler the other scheduler.
     * @param count the number, 0 once the scheduler is gone.
     */
    public void recordPeerInProgress(String scheduler, int count) {
        peerInProgress.put(scheduler, count);
    }

    /**
     * Records how many prompt tokens the upstream has still to process for another scheduler.
     *
     * @param scheduler the other scheduler.
     * @param tokens the tokens, 0 once the scheduler is gone.
     */
    public void recordPeerPendingTokens(String scheduler, long tokens) {
        peerPendingTokens.put(scheduler, tokens);
    }

    /**
     * Returns how many prompt tokens the upstream has still to process for this scheduler.
     *
     * @return the tokens of the requests whose answers have not begun.
     */
    public long ownPendingTokens() {
        return unanswered.pendingTokens();
    }

    /** Returns how many prompt tokens the upstream has still to process for all schedulers, as far as reported. */
    long pendingTokens() {
        return unanswered.pendingTokens() + peerPendingTokens.total();
    }

    /**
     * Returns how many requests all schedulers together have in progress at the upstream, as far as reported.
     *
     * @return the number.
     */
    public int inProgress() {
        return ownRequests.count() + (int) peerInProgress.total();
    }

    /**
     * Returns how many requests this scheduler has in progress at the upstream.
     *
     * @return the number.
     */
    public int ownInProgress() {
        return ownRequests.count();
    }

    /**
     * Returns the rate at which the requests of this scheduler are likely to release their slots, in slots per second. If
     * their mean age exceeds the usual holding time, as at an upstream that hangs, the age is used instead.
     *
     * @param usualHoldMillis the average holding time in the pool, in milliseconds.
     * @param now the current time in milliseconds.
     */
    double ownReleasesPerSecond(double usualHoldMillis, long now) {
        // An end without a recorded start makes the count negative.
        return Math.max(0, ownRequests.count()) * 1_000 / Math.max(usualHoldMillis, ownRequests.meanAgeMillis(now));
    }

    long lastSentAt() {
        return lastSentAt;
    }

    boolean isEjected(long now) {
        return health.isEjected(now);
    }

    boolean isUnreachable(long now) {
        return health.isUnreachable() && health.isEjected(now);
    }

    /**
     * Returns whether the upstream may get one request only, to test whether it has recovered.
     *
     * @return whether it is on probation.
     */
    public boolean isOnProbation() {
        return health.isOnProbation();
    }

    /**
     * Returns whether the upstream has unanswered requests and has sent nothing for so long that it seems to hang.
     *
     * @param now the current time in milliseconds.
     * @return whether it seems to hang.
     */
    public boolean isSilent(long now) {
        return silence.isSilent(now);
    }

    /**
     * Returns whether this scheduler or another one has measured the time per event.
     *
     * @return whether it is known.
     */
    public boolean isEventTimeKnown() {
        return eventMillis.isKnown() || peerEventMillis > 0;
    }

    double eventMillis() {
        return eventMillis.isKnown() ? eventMillis.value() : peerEventMillis;
    }

    double failureShare() {
        return health.failureShare();
    }

    /** Returns how timely an answer of at most this number of events is likely to be if the request is sent now. */
    Timeliness timeliness(QueuedRequest queued, long uncachedTokens, double events, long now) {
        if (!isFirstByteKnown()) {
            return Timeliness.ON_TIME;
        }
        double firstByteAt = now + firstByteMillis(uncachedTokens);
        if (firstByteAt > queued.callerWaitsUntil()
                || now + totalMillis(uncachedTokens, events)
                        > queued.requirements().endsAt()) {
            return Timeliness.TOO_LATE;
        }
        return firstByteAt > queued.requirements().targetAt() ? Timeliness.LATE : Timeliness.ON_TIME;
    }

    /**
     * Returns the expected time to first byte in milliseconds. It includes the prompts ahead, because an engine
     * processes one prompt after the other: one of 50,000 tokens delays those behind it by a second.
     */
    private double firstByteMillis(long promptTokens) {
        long tokens = promptTokens + pendingTokens();
        return firstByte.isKnown() ? firstByte.millis(tokens) : poolFirstByte.millis(tokens) * eventMillis();
    }

    /**
     * Returns whether the time to first byte can be estimated. Where there are many schedulers, each has too few
     * answers of its own from each engine, and would send long prompts and answers to slow ones. The engines of a pool
     * differ almost only in speed, which schedulers report to each other, so that the times of the pool can be used.
     */
    private boolean isFirstByteKnown() {
        return isEventTimeKnown() && (firstByte.isKnown() || usesPoolTimes && poolFirstByte.isKnownForPool());
    }

    /** Returns the expected time of a complete answer in milliseconds, 0 where it is not known. */
    double totalMillis(long uncachedTokens, double events) {
        return isFirstByteKnown() ? firstByteMillis(uncachedTokens) + eventMillis() * events : 0;
    }

    /** Rates how timely an answer is likely to be, best first. */
    enum Timeliness {
        /** The first byte is on time. */
        ON_TIME,
        /** The first byte is on time, but streams at the upstream are likely to pause for too long. */
        HOLDING_UP,
        /** The first byte is late, but the answer is complete before its deadline. */
        LATE,
        /** The answer isn't complete before its deadline, or begins when its caller has left. */
        TOO_LATE
    }
}
