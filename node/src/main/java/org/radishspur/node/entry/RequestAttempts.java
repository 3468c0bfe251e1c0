package org.radishspur.node.entry;

import java.util.Optional;

import org.radishspur.decision.dispatch.UpstreamLoad;

/**
 * Holds the slot that one request waits for, or the attempt that runs it, and a second attempt beside one that is silent. The
 * traffic thread owns it.
 */
final class RequestAttempts {
    /**
     * The time without a byte after which the slot of an attempt on a broken path is released, in milliseconds. If it were
     * released sooner, a request that an upstream still runs after a short silence would no longer count as in progress.
     */
    private static final long RELEASE_AFTER_SILENCE_MILLIS = 3_000;

    private final EntryExchange exchange;
    private final EntryServices services;
    private final ExchangeLog log;
    private final RequestRuns runs;
    private final Hedge hedge;
    private UpstreamSlot slot;
    private UpstreamAttempt attempt;

    /** An attempt that has ended, while the rest of its response is discarded. */
    private Optional<UpstreamAttempt> discarding = Optional.empty();

    RequestAttempts(EntryExchange exchange, EntryServices services, ExchangeLog log, RequestRuns runs) {
        this.exchange = exchange;
        this.services = services;
        this.log = log;
        this.runs = runs;
        this.hedge = new Hedge(exchange, services, log, runs);
    }

    /** Waits for a slot in place of the last attempt. */
    void await(UpstreamSlot requested) {
        slot = requested;
        if (attempt != null) {
            discarding.ifPresent(UpstreamAttempt::endDiscarding);
            discarding = Optional.of(attempt);
        }
        attempt = null;
    }

    /** Ends the wait for a slot, which has been granted or rejected. */
    void endWait() {
        slot = null;
    }

    /** Makes an attempt with a granted slot. */
    void start(UpstreamSlot granted) {
        attempt = new UpstreamAttempt(exchange, services, granted);
        services.addRunning(exchange);
        // On a broken path that is tried again, only a second attempt can serve the request.
        attempt.start(exchange.route().isRepeatable() && runs.budget().hasUnreserved());
    }

    /**
     * Makes a second attempt if the upstream has stopped sending, or its path is broken, and the request may run again.
     * The first attempt goes on, as its response may still come; on a broken path its slot is released once it has been
     * silent for longer than a sound upstream, so that it doesn't keep the requests of others waiting.
     */
    void checkSilence(long now) {
        checkRejections(now);
        if (attempt == null) {
            return;
        }
        boolean pathBroken = attempt.isStalledOnBrokenPath(now);
        if (!pathBroken && !attempt.isSilent(now)) {
            return;
        }
        if (attempt.beginSilence()) {
            log.silent(upstreamName(), attempt.silentMillis(now), pathBroken, runs.verdict());
        }
        if (pathBroken && attempt.silentMillis(now) > RELEASE_AFTER_SILENCE_MILLIS) {
            attempt.releaseSlot();
        }
        hedge.request(pathBroken, now);
    }

    /** Ends the attempts whose upstreams have rejected the request and don't send the rest of the rejection. */
    private void checkRejections(long now) {
        hedge.checkRejection(now);
        if (attempt != null) {
            attempt.checkRejection(now);
        }
    }

    /** Returns whether there is an attempt, rather than only the wait for a slot. */
    boolean hasAttempt() {
        return attempt != null;
    }

    /** Returns whether a second attempt was requested and has not ended; it may go on when the first one ends. */
    boolean isSecondRequested() {
        return hedge.isRequested();
    }

    /** Returns whether an attempt is the second one. */
    boolean isSecond(UpstreamAttempt candidate) {
        return hedge.isSecond(candidate);
    }

    /** Returns whether a second attempt was sent and has not ended, so that neither may end the request alone. */
    boolean isSecondSent() {
        return hedge.isRunning();
    }

    /** Returns whether a connected attempt has to wait before it is sent. */
    boolean isHeld(UpstreamAttempt connected) {
        return hedge.isHeld(connected);
    }

    /** Counts the request as possibly run, since it is being sent. */
    void onSent(UpstreamAttempt sent) {
        runs.onSent();
        if (hedge.isSecond(sent)) {
            hedge.onSent();
        }
    }

    /** Records that the upstream of an attempt has sent something. */
    void onProgress(UpstreamAttempt progressing) {
        if (progressing == attempt) {
            hedge.cancelUnlessSent();
        }
    }

    /** Keeps the attempt that continues the response, and cancels the other one. */
    void keep(UpstreamAttempt continuing) {
        if (hedge.isSecond(continuing)) {
            UpstreamAttempt silent = attempt;
            attempt = hedge.takeRunning().orElseThrow();
            silent.abandon();
        } else {
            hedge.cancel();
        }
    }

    /** Goes on with the other attempt after one has ended, and returns whether there is one. */
    boolean continueWithout(UpstreamAttempt ended, String cause) {
        if (hedge.isSecond(ended)) {
            hedge.onFailed(cause);
            return true;
        }
        Optional<UpstreamAttempt> other = hedge.takeRunning();
        other.ifPresent(running -> attempt = running);
        return other.isPresent();
    }

    /** Lets a second attempt not be sent until it takes the place of the first, which may have ended its upstream. */
    void holdSecond() {
        hedge.hold();
    }

    /** Cancels the second attempt, if there is one. */
    void cancelSecond() {
        hedge.cancel();
    }

    /** Returns whether a second attempt is being made and was not sent yet. */
    boolean isSecondPending() {
        return hedge.isPending();
    }

    /** Lets the second attempt, which was not sent yet, take the place of the first one that has ended. */
    void takePendingSecond() {
        hedge.handOverPending();
    }

    /** Goes on with a second attempt that isn't sent yet, after the first one has ended. */
    void adopt(UpstreamAttempt connecting) {
        attempt = connecting;
    }

    /**
     * Returns whether an attempt may still be withdrawn: a second one that isn't answered, or a first one whose response
     * hasn't begun.
     */
    boolean mayBeWithdrawn() {
        return attempt != null && hedge.isUnanswered() && (attempt.isUnanswered() || hedge.isRequested());
    }

    /** Withdraws the unanswered attempts, and returns whether these were all. */
    boolean withdraw() {
        boolean unanswered = attempt.isUnanswered();
        hedge.cancel();
        if (unanswered) {
            attempt.abandon();
        }
        return unanswered;
    }

    /** Ends the attempt at the deadline of the request. */
    void endAtDeadline() {
        if (attempt != null) {
            attempt.endAtDeadline();
        }
    }

    /** Reads more of the response, once the caller has received the written part. */
    void read() {
        if (attempt != null) {
            attempt.read();
            hedge.read();
        }
    }

    /** Cancels the request for a slot and the attempts. */
    void cancel() {
        if (slot != null) {
            slot.cancel();
        }
        if (attempt != null) {
            attempt.abandon();
        }
        discarding.ifPresent(UpstreamAttempt::endDiscarding);
        hedge.cancel();
    }

    /** Returns the upstream of the first of two attempts or of the only one, empty where there is none. */
    Optional<UpstreamLoad> upstream() {
        return Optional.ofNullable(attempt).map(UpstreamAttempt::upstream);
    }

    /** Returns how often the request was sent. */
    int sendings() {
        return runs.sendings();
    }

    /** Returns the name of the connection of the current attempt, or an empty text where there is none. */
    String connectionName() {
        return attempt == null ? "" : attempt.connectionName();
    }

    /** Returns the identifier of the upstream of the current attempt, or an empty text where there is none. */
    String upstreamName() {
        return upstream().map(upstream -> upstream.upstream().id()).orElse("");
    }
}
