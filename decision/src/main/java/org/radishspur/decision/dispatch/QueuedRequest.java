package org.radishspur.decision.dispatch;

import java.util.HashSet;
import java.util.Set;

/**
 * Stands for one request that asks for a slot at an upstream.
 */
public final class QueuedRequest {
    private final String name;
    private final int rank;
    private final long arrivedAt;
    private final long queueingDeadline;
    private final VersionRule versions;
    private final Work work;
    private final Set<String> avoidedRuns = new HashSet<>();
    private String entryDomain = "";
    private long sequence;
    private double slotValue;
    private long cachedTokens;

    /**
     * Creates a request.
     *
     * @param name the request, for logs.
     * @param rank how urgent its organisation is; 0 is the most urgent.
     * @param arrivedAt when the request came, in milliseconds.
     * @param queueingDeadline until when waiting for a slot makes sense, in milliseconds of the same clock.
     * @param versions the versions that may serve it.
     * @param work what is asked of the upstream, and by when.
     */
    public QueuedRequest(
            String name, int rank, long arrivedAt, long queueingDeadline, VersionRule versions, Work work) {
        this.name = name;
        this.rank = rank;
        this.arrivedAt = arrivedAt;
        this.queueingDeadline = queueingDeadline;
        this.versions = versions;
        this.work = work;
    }

    /**
     * Keeps the request from an upstream, where others can serve it.
     *
     * @param run the run of the upstream.
     */
    public void avoid(String run) {
        avoidedRuns.add(run);
    }

    /**
     * Sets where its entry stands, from which bytes to other failure domains are paid for.
     *
     * @param failureDomain the failure domain; empty for that of the scheduler.
     */
    public void prefer(String failureDomain) {
        entryDomain = failureDomain;
    }

    String entryDomainOr(String defaultDomain) {
        return entryDomain.isEmpty() ? defaultDomain : entryDomain;
    }

    /**
     * Returns the request's name.
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
     * Returns when the request came.
     *
     * @return the clock in milliseconds.
     */
    public long arrivedAt() {
        return arrivedAt;
    }

    /**
     * Returns how many tokens of the prompt the chosen upstream probably has to read.
     *
     * @return the tokens that it doesn't keep.
     */
    public long unreadTokens() {
        return work.promptTokens() - cachedTokens;
    }

    void setCachedTokens(long tokens) {
        cachedTokens = tokens;
    }

    long queueingDeadline() {
        return queueingDeadline;
    }

    /**
     * Returns what is asked of the upstream.
     *
     * @return the work.
     */
    public Work work() {
        return work;
    }

    /** Returns whether the request has come too late to be answered on time, as one that was refused before. */
    boolean isLate() {
        return work.targetAt() <= arrivedAt;
    }

    /** Returns until when only an upstream is taken that is likely to answer in time. */
    long selectiveUntil() {
        return arrivedAt + (queueingDeadline - arrivedAt) / 2;
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

    /** Returns what a slot was worth to the request when it came. */
    double slotValue() {
        return slotValue;
    }

    void assignPosition(long number, double newValue) {
        sequence = number;
        slotValue = newValue;
    }

    /**
     * Says what a request asks of an upstream.
     *
     * @param promptTokens the tokens of the prompt, 0 for a plain call.
     * @param outputTokens how many tokens the caller expects, 0 where it doesn't say and for a plain call.
     * @param outputLimit how many tokens the answer can have at most, 0 where the caller doesn't say.
     * @param tier the tier of the route alone, by which slots are reserved; 0 is the most urgent.
     * @param targetAt until when the first byte has its full value, in milliseconds of the scheduler's clock.
     * @param endsAt until when the whole answer has any value, on the same clock.
     * @param prefix the beginning of the prompt that other requests have as well.
     */
    public record Work(
            long promptTokens,
            long outputTokens,
            long outputLimit,
            int tier,
            long targetAt,
            long endsAt,
            Prefix prefix) {

        /**
         * Says what a request asks whose prompt begins like no other and whose answer has no limit.
         *
         * @param promptTokens the tokens of the prompt.
         * @param outputTokens how many tokens the caller expects.
         * @param tier the tier of the route alone.
         * @param targetAt until when the first byte has its full value.
         * @param endsAt until when the whole answer has any value.
         */
        public Work(long promptTokens, long outputTokens, int tier, long targetAt, long endsAt) {
            this(promptTokens, outputTokens, 0, tier, targetAt, endsAt, Prefix.NONE);
        }
    }

    /**
     * Names the beginning of a prompt that several requests share, and that an engine needn't read again while it keeps it.
     *
     * @param id identifies the text.
     * @param tokens its length.
     */
    public record Prefix(String id, long tokens) {
        /** Stands for a prompt that begins like no other. */
        public static final Prefix NONE = new Prefix("", 0);

        /** With fewer tokens than this a prefix is read again in a few milliseconds, and no engine is preferred for it. */
        private static final long MIN_CACHED_TOKENS = 500;

        boolean isWorthCaching() {
            return tokens >= MIN_CACHED_TOKENS;
        }
    }
}
