package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.radishspur.model.catalogue.RequestLimit;

/**
 * Keeps the requests to one upstream within the limit that it states in its responses, summed over all schedulers.
 *
 * <p>Schedulers report to each other how many requests they have sent, and each holds a token bucket from which the
 * requests of all are taken. As reports are late, several schedulers could take the same token; so each token is
 * offered to one scheduler after the other, starting with another one each time.
 */
final class RequestLimiter {
    /** The time for which a token is left to the schedulers before this one, in milliseconds; covers a report. */
    private static final long TURN_MILLIS = 100;

    /** The requests that may be saved up while none are sent, in milliseconds of the limit, beside one request. */
    private static final long BURST_MILLIS = 500;

    /** The maximum debt after requests that other schedulers sent at the same time, in milliseconds of the limit. */
    private static final long MAX_DEBT_MILLIS = 4_000;

    /**
     * The time after a response that states the limit within which a response without it doesn't end the limit, in
     * milliseconds: responses overtake each other on their way here.
     */
    private static final long REORDERING_MILLIS = 500;

    private static final double MILLIS_PER_MINUTE = 60_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final Map<String, Long> peerSent = new HashMap<>();
    private RequestLimit limit = RequestLimit.NONE;
    private boolean everLimited;
    private long statedAt = Long.MIN_VALUE / 2;
    private long endedAt = Long.MIN_VALUE / 2;
    private long ownSent;
    private double level;
    private long refilledAt;
    private long availableSince = NEVER;
    private Turns turns = Turns.ALONE;
    private double reportingShare = 1;

    void setTurns(Turns newTurns) {
        turns = newTurns;
    }

    /**
     * Sets the share of the schedulers that report what they send, this one included. The others may be cut off rather
     * than have ended, and send requests as well; so those that report leave the others their share of the limit.
     */
    void setReportingShare(double share, long now) {
        if (isLimited()) {
            refill(now);
        }
        reportingShare = share;
    }

    /**
     * Records what a response stated.
     *
     * @param stated the limit, or that there is none.
     * @param at when the response arrived, in milliseconds.
     * @param now the current time in milliseconds.
     * @return whether the limit has changed.
     */
    boolean recordStatement(RequestLimit stated, long at, long now) {
        RequestLimit before = limit;
        if (stated.isLimited() && at > endedAt) {
            limit = at >= statedAt || !before.isLimited() ? stated : before;
            statedAt = Math.max(statedAt, at);
            everLimited = true;
            if (!before.isLimited()) {
                level = 0;
                refilledAt = now;
                availableSince = NEVER;
            }
        } else if (!stated.isLimited() && before.isLimited() && at - statedAt >= REORDERING_MILLIS) {
            limit = RequestLimit.NONE;
            endedAt = at;
        }
        return !limit.equals(before);
    }

    /** Returns whether the upstream states a limit at present. */
    boolean isLimited() {
        return limit.isLimited();
    }

    /** Returns whether the upstream has ever stated a limit, so that peers have to receive its end as well. */
    boolean wasEverLimited() {
        return everLimited;
    }

    RequestLimit limit() {
        return limit;
    }

    /** Returns how long ago the limit, or its end, was stated, in milliseconds. */
    long statementAgeMillis(long now) {
        return now - (isLimited() ? statedAt : endedAt);
    }

    /** Returns how many requests this scheduler has sent since it started. */
    long ownSent() {
        return ownSent;
    }

    /** Records that this scheduler has sent a request. */
    void recordSent(long now) {
        ownSent++;
        take(1, now);
    }

    /** Records how many requests a peer has sent since it started. */
    void recordPeerSent(String peer, long total, long now) {
        Long previous = peerSent.put(peer, total);
        if (previous != null && total > previous) {
            take(total - previous, now);
        }
    }

    /** Removes a peer that is gone, which all others do, so that they agree on whose turn it is. */
    void forgetPeer(String peer) {
        peerSent.remove(peer);
    }

    /** Returns whether one more request may be sent. */
    boolean allows(long now) {
        if (!isLimited()) {
            return true;
        }
        refill(now);
        return availableSince != NEVER && now - availableSince >= schedulersBefore() * TURN_MILLIS;
    }

    /** Returns how many other schedulers are offered the current token before this one. */
    private long schedulersBefore() {
        long sent =
                ownSent + peerSent.values().stream().mapToLong(Long::longValue).sum();
        return Math.floorMod(turns.position() + sent, turns.schedulers());
    }

    private void take(long requests, long now) {
        if (isLimited()) {
            refill(now);
            level = Math.max(level - requests, -(1 + ratePerMilli() * MAX_DEBT_MILLIS));
            availableSince = level >= 1 ? now : NEVER;
        }
    }

    private void refill(long now) {
        double rate = ratePerMilli();
        double missing = 1 - level;
        level = Math.min(1 + rate * BURST_MILLIS, level + rate * Math.max(0, now - refilledAt));
        if (availableSince == NEVER && level >= 1) {
            availableSince = Math.min(now, refilledAt + (long) Math.ceil(missing / rate));
        }
        refilledAt = now;
    }

    private double ratePerMilli() {
        return limit.requestsPerMinute() * turns.share() * reportingShare / MILLIS_PER_MINUTE;
    }

    /**
     * Describes how this scheduler shares a limit with others.
     *
     * @param position its position among the schedulers that report to each other, from 0.
     * @param schedulers the number of these schedulers.
     * @param share the share of the limit that they may use together; the rest is for processes that don't report.
     */
    record Turns(int position, int schedulers, double share) {
        static final Turns ALONE = new Turns(0, 1, 1);
    }
}
