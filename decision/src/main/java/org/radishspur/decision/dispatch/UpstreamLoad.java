package org.radishspur.decision.dispatch;

import org.radishspur.model.catalogue.ColdStart;
import org.radishspur.model.catalogue.Upstream;

/**
 * Holds what one entry knows of one run of an upstream: what is in progress there, how fast it answers, and whether it
 * can be trusted with more.
 */
public final class UpstreamLoad {
    /** The part of the newest answer in an average of times; about ten answers outweigh the older ones. */
    private static final double TIME_AVERAGE_WEIGHT = 0.1;

    /** The part of the newest answer in the share of failures; five failures in a row bring it above one half. */
    private static final double FAILURE_AVERAGE_WEIGHT = 0.15;

    /** So many answers must stand behind a share of failures before it counts. */
    private static final long MIN_OUTCOMES = 5;

    /** So many failures in a row make an upstream suspect, whatever its share of failures. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** How long an upstream with failures gets nothing, in milliseconds; long enough to spare some ten requests. */
    private static final long FAILURE_EJECTION_MILLIS = 1_500;

    /** The first pause after a failed connection, in milliseconds; it doubles with each further one. */
    private static final long MIN_CONNECT_EJECTION_MILLIS = 200;

    /** The longest pause after a failed connection, in milliseconds; a restarted upstream is found again by then. */
    private static final long MAX_CONNECT_EJECTION_MILLIS = 1_600;

    /** No answer within this time looks like silence, in milliseconds; healthy upstreams start well below it. */
    public static final long SHORTEST_SILENCE_MILLIS = 600;

    /**
     * The same for an upstream that has not answered yet, in milliseconds. Guards against a slow engine that is never learnt
     * to be slow: with a line of long prompts its first answer takes over a second, and each try would be given up before.
     */
    private static final long FIRST_ANSWER_SILENCE_MILLIS = 1_500;

    /** Silence is this many usual times to the first byte. */
    private static final double SILENCE_FACTOR = 5;

    /** Spreads hash codes that differ in their last bits only, as Knuth's multiplicative hashing does. */
    private static final int GOLDEN_RATIO = 0x9E3779B9;

    /** Connections that break within this time of each other have one cause, in milliseconds. */
    private static final long SAME_CAUSE_MILLIS = 50;

    private Upstream upstream;
    private final String run;
    private final double preference;
    private boolean listed = true;
    private int ownInProgress;
    private long lastSentAt = Long.MIN_VALUE / 2;
    private final PeerTotal peerInProgress = new PeerTotal();
    private final MovingAverage firstByteMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);
    private final FirstByteModel firstByte = new FirstByteModel();
    private final FirstByteModel poolFirstByte;
    private boolean usesPoolTimes;
    private ColdStartLimit coldLimit = new ColdStartLimit(ColdStart.NONE);
    private final MovingAverage eventMillis = new MovingAverage(TIME_AVERAGE_WEIGHT);
    private final MovingAverage failures = new MovingAverage(FAILURE_AVERAGE_WEIGHT);
    private double peerEventMillis;
    private int consecutiveFailures;
    private int connectFailures;
    private long ejectedUntil;
    private boolean onProbation;
    private boolean replaced;
    private boolean unreachable;
    private final UnansweredRequests unanswered = new UnansweredRequests();
    private final PeerTotal peerPendingTokens = new PeerTotal();
    private long lastByteAt;
    private long lastBreakAt = Long.MIN_VALUE / 2;

    /**
     * Creates the load of an upstream without requests.
     *
     * @param upstream the upstream.
     * @param poolFirstByte the times to the first byte in the whole pool, as multiples of each upstream's time for one event.
     * @param scheduler the name of the scheduler, which prefers some upstreams a little to others.
     */
    UpstreamLoad(Upstream upstream, FirstByteModel poolFirstByte, String scheduler) {
        this.upstream = upstream;
        this.poolFirstByte = poolFirstByte;
        run = upstream.run();
        int hash = (scheduler + run).hashCode() * GOLDEN_RATIO;
        preference = (hash >>> 1) / (double) Integer.MAX_VALUE;
    }

    /**
     * Returns the run of the upstream.
     *
     * @return the text that no other run shares.
     */
    public String run() {
        return run;
    }

    /** Returns a number from 0 to 1 that stays the same for one scheduler and this upstream. */
    double preference() {
        return preference;
    }

    /** Says whether the host list still names the upstream. */
    void listed(boolean present) {
        listed = present;
    }

    boolean isListed() {
        return listed;
    }

    /**
     * Returns the description of the upstream.
     *
     * @return the newest one.
     */
    public Upstream upstream() {
        return upstream;
    }

    void update(Upstream newer) {
        // Leaving wins: a list that lags may still show an upstream as live after another one has shown it leaving.
        upstream = newer.withLeaving(upstream.leaving() || newer.leaving());
    }

    /**
     * Notes that a request is sent.
     *
     * @param request identifies the request.
     * @param promptTokens the tokens of its prompt that the upstream has to read.
     * @param now the clock in milliseconds.
     */
    public void began(Object request, long promptTokens, long now) {
        ownInProgress++;
        lastSentAt = now;
        coldLimit.recordSent(now);
        if (unanswered.isEmpty()) {
            lastByteAt = now;
        }
        unanswered.add(request, promptTokens, pendingTokens(), now);
    }

    /**
     * Notes that the answer to a request has begun.
     *
     * @param request identifies the request.
     * @param promptTokens the tokens of its prompt.
     * @param millis the time since the request was sent.
     * @param now the clock in milliseconds.
     */
    public void answered(Object request, long promptTokens, long millis, long now) {
        long tokensAhead = unanswered.remove(request);
        lastByteAt = now;
        firstByteMillis.add(millis);
        firstByte.add(promptTokens + tokensAhead, millis);
        if (isEventTimeKnown()) {
            poolFirstByte.add(promptTokens + tokensAhead, millis / eventMillis());
        }
    }

    /**
     * Notes that bytes have come.
     *
     * @param now the clock in milliseconds.
     */
    public void recordBytes(long now) {
        lastByteAt = now;
    }

    /**
     * Notes that a request has ended, however it ended.
     *
     * @param request identifies the request.
     */
    public void ended(Object request) {
        ownInProgress--;
        unanswered.remove(request);
    }

    /**
     * Notes how fast a whole answer came.
     *
     * @param millis the time from the first byte to the last, or for a plain call the whole time.
     * @param events the events of the stream; 1 for a plain call.
     */
    public void recordEventTime(double millis, long events) {
        eventMillis.add(millis / Math.max(1, events));
    }

    /**
     * Notes how fast another entry finds the upstream, which counts as long as this entry knows nothing itself.
     *
     * @param millis the time for one event, 0 where the other entry doesn't know it.
     */
    public void recordPeerEventTime(double millis) {
        peerEventMillis = millis > 0 ? millis : peerEventMillis;
    }

    /**
     * Returns how fast this entry itself finds the upstream.
     *
     * @return the time for one event in milliseconds, 0 where it is not known.
     */
    public double ownEventMillis() {
        return eventMillis.isKnown() ? eventMillis.value() : 0;
    }

    /** Notes that another instance answers at the address, so that this one is gone. */
    public void markReplaced() {
        replaced = true;
    }

    /** Says whether the times of the whole pool count as long as this upstream has hardly answered here. */
    void usesPoolTimes(boolean follows) {
        usesPoolTimes = follows;
    }

    /** Sets what the upstream bears while it is cold. */
    void setColdStart(ColdStart rule) {
        coldLimit = new ColdStartLimit(rule);
    }

    /** Notes that the upstream may have become cold just now, before the host list shows it. */
    void recordPossibleRestart(long now) {
        coldLimit.recordPossibleRestart(now);
    }

    /**
     * Returns whether the upstream bears few requests only. One that can't be reached is likely to return cold, some time
     * before the host list shows it.
     */
    boolean isCold(long now) {
        return coldLimit.isLimited() && (upstream.cold() || unreachable || coldLimit.mayBeCold(now));
    }

    /** Returns whether one more request stays within what the upstream bears while it is cold. */
    boolean allowsColdRequest(long now) {
        return coldLimit.allows(now);
    }

    boolean isReplaced() {
        return replaced;
    }

    /**
     * Notes an answer of this entry or of another one.
     *
     * @param success whether it was whole and no failure of the upstream.
     * @param poolFailures the usual share of failures in the pool, which may have its cause in the requests.
     * @param now the clock in milliseconds.
     */
    public void recordOutcome(boolean success, double poolFailures, long now) {
        failures.add(success ? 0 : 1);
        if (success) {
            if (unreachable) {
                coldLimit.recordPossibleRestart(now);
            }
            consecutiveFailures = 0;
            connectFailures = 0;
            unreachable = false;
            onProbation = false;
            return;
        }
        consecutiveFailures++;
        boolean failsOften = failures.samples() >= MIN_OUTCOMES && failures.value() > poolFailures + 0.25;
        if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || failsOften || onProbation) {
            ejectedUntil = now + FAILURE_EJECTION_MILLIS;
            onProbation = true;
        }
    }

    /**
     * Notes that a connection broke, and returns whether that is a failure of its own.
     *
     * <p>Guards against sound upstreams that get nothing for a while: a fault of this host or its network resets many
     * connections at once, several of them to the same upstream, and three failures in a row make an upstream suspect. An
     * upstream that is really gone shows when the next connection is made.
     *
     * @param now the clock in milliseconds.
     * @return whether it counts, and not as one with the break before it.
     */
    public boolean broke(long now) {
        boolean isNew = isNewBreak(now);
        lastBreakAt = now;
        return isNew;
    }

    /**
     * Returns whether a connection that breaks now would count.
     *
     * @param now the clock in milliseconds.
     * @return whether none has broken just before.
     */
    public boolean isNewBreak(long now) {
        return now - lastBreakAt > SAME_CAUSE_MILLIS;
    }

    /**
     * Notes that no connection could be made.
     *
     * @param now the clock in milliseconds.
     */
    public void recordConnectFailure(long now) {
        long ejectionMillis =
                Math.min(MAX_CONNECT_EJECTION_MILLIS, MIN_CONNECT_EJECTION_MILLIS << Math.min(connectFailures, 5));
        connectFailures++;
        ejectedUntil = now + ejectionMillis;
        onProbation = true;
        unreachable = true;
    }

    /**
     * Notes how many requests another entry has in progress here.
     *
     * @param entry the other entry.
     * @param count the number, 0 once it is gone.
     */
    public void recordPeerInProgress(String entry, int count) {
        peerInProgress.put(entry, count);
    }

    /**
     * Notes how many tokens of prompts the upstream has still to read for another entry.
     *
     * @param entry the other entry.
     * @param tokens the tokens, 0 once it is gone.
     */
    public void recordPeerUnread(String entry, long tokens) {
        peerPendingTokens.put(entry, tokens);
    }

    /**
     * Returns how many tokens of prompts the upstream has still to read for this entry.
     *
     * @return the tokens of the requests that it has not begun to answer.
     */
    public long ownUnreadTokens() {
        return unanswered.pendingTokens();
    }

    /** Returns how many tokens of prompts the upstream has still to read for all entries, as far as this entry knows. */
    private long pendingTokens() {
        return unanswered.pendingTokens() + peerPendingTokens.total();
    }

    /**
     * Returns how many requests all entries together have in progress here, as far as this entry knows.
     *
     * @return the number.
     */
    public int inProgress() {
        return ownInProgress + (int) peerInProgress.total();
    }

    /**
     * Returns how many requests this entry has in progress here.
     *
     * @return the number.
     */
    public int own() {
        return ownInProgress;
    }

    long lastSentAt() {
        return lastSentAt;
    }

    boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    boolean isUnreachable(long now) {
        return unreachable && isEjected(now);
    }

    /**
     * Returns whether the upstream may get one request only, to see whether it is well again.
     *
     * @return whether it is on probation.
     */
    public boolean isOnProbation() {
        return onProbation;
    }

    /**
     * Returns whether the upstream owes answers and has sent nothing for so long that it seems to hang.
     *
     * <p>Guards against an upstream that has fallen silent without a reset: its requests stay unanswered, and no new one
     * must join them. A busy engine sends events of some stream all the while, so that silence is told from load.
     *
     * @param now the clock in milliseconds.
     * @return whether it seems to hang.
     */
    public boolean isSilent(long now) {
        if (unanswered.isEmpty()) {
            return false;
        }
        double usualLimit =
                firstByteMillis.isKnown() ? firstByteMillis.value() * SILENCE_FACTOR : FIRST_ANSWER_SILENCE_MILLIS;
        double limit = Math.max(SHORTEST_SILENCE_MILLIS, usualLimit);
        if (now - lastByteAt <= limit) {
            return false;
        }
        return now - unanswered.oldestSentAt(now) > limit;
    }

    /**
     * Returns whether any entry is known to have measured the upstream.
     *
     * @return whether its pace is known.
     */
    public boolean isEventTimeKnown() {
        return eventMillis.isKnown() || peerEventMillis > 0;
    }

    double eventMillis() {
        return eventMillis.isKnown() ? eventMillis.value() : peerEventMillis;
    }

    double failureShare() {
        return failures.value();
    }

    /** Tells how well the upstream is likely to do for a request that is sent now and gets at most so many events. */
    Timeliness timeliness(QueuedRequest.Work work, long uncachedTokens, double events, long now) {
        if (!isFirstByteKnown()) {
            return Timeliness.ON_TIME;
        }
        if (now + totalMillis(uncachedTokens, events) > work.endsAt()) {
            return Timeliness.TOO_LATE;
        }
        return now + firstByteMillis(uncachedTokens) > work.targetAt() ? Timeliness.LATE : Timeliness.ON_TIME;
    }

    /**
     * Returns how long the first byte is likely to take. Guards against a short request that is late behind a long prompt:
     * an engine reads prompts one after the other, and one of 50,000 tokens holds up those behind it for a second.
     */
    private double firstByteMillis(long promptTokens) {
        long tokens = promptTokens + pendingTokens();
        return firstByte.isKnown() ? firstByte.millis(tokens) : poolFirstByte.millis(tokens) * eventMillis();
    }

    /**
     * Returns whether the time to the first byte can be told. Guards against long prompts and answers at slow engines where
     * there are many entries: each has too few answers of its own from each engine, but engines of a pool differ in little
     * but their speed, which entries tell each other.
     */
    private boolean isFirstByteKnown() {
        return isEventTimeKnown() && (firstByte.isKnown() || usesPoolTimes && poolFirstByte.isKnownForPool());
    }

    /** Returns how long a whole answer is likely to take; 0 where nothing is known. */
    double totalMillis(long uncachedTokens, double events) {
        return isFirstByteKnown() ? firstByteMillis(uncachedTokens) + eventMillis() * events : 0;
    }

    /** Says how well an upstream is likely to do for a request; a better fit comes first. */
    enum Timeliness {
        /** The first byte comes in time. */
        ON_TIME,
        /** The answer is late but whole before its caller leaves. */
        LATE,
        /** The caller leaves before the answer is whole. */
        TOO_LATE
    }
}
