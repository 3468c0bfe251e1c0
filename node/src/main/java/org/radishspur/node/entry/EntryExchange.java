package org.radishspur.node.entry;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.radishspur.decision.crash.Admission;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.model.catalogue.RouteRule;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.dialect.CallerDialect.RequestHead;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.upstream.ResponseEnd;
import org.radishspur.node.upstream.UpstreamProbe;

/**
 * Processes one request from the arrival of its head to its only response: it reads the body, finds the route and the
 * organisation, requests a slot, sends the request to the granted upstream and retries on others where the route allows
 * that. The traffic thread owns it.
 */
final class EntryExchange implements UpstreamSlot.Listener {
    /**
     * The time after which to retry a request that upstreams have turned away, in milliseconds; schedulers send little to
     * such upstreams for about as long.
     */
    private static final long NOT_TAKEN_RETRY_MILLIS = 500;

    /** Stands for the decision of a scheduler where none has refused the request. */
    private static final SlotReply.Rejected NO_REJECTION = new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, 0);

    private final EntryServices services;
    private final CallerResponse response;
    private final HttpRequest request;
    private final RequestDeadline deadline;
    private final RequestRouting routing;
    private final ExchangeLog log;
    private final CrashCheck crashCheck;
    private final RequestRuns runs;
    private final RequestAttempts attempts;
    private final SlotRequests slotRequests;
    private final BodyReader body;

    private boolean counted;
    private boolean done;
    private boolean firstByteReceived;
    private long firstMillis;
    private long lastEventId;
    private long eventCount;
    private long lastEventAt;

    EntryExchange(
            EntryServices services, FrontConnection connection, ChannelHandlerContext context, HttpRequest request) {
        this.services = services;
        this.response = new CallerResponse(services, connection, context, request, this::onCallerWritable);
        this.request = request;
        this.deadline = new RequestDeadline(services.loop(), services.dialect());
        this.routing = new RequestRouting(this, services, request, deadline);
        this.log = new ExchangeLog(services, this);
        this.crashCheck = new CrashCheck(services, this, log);
        this.runs = new RequestRuns(this, services, crashCheck);
        this.attempts = new RequestAttempts(this, services, log, runs);
        this.slotRequests = new SlotRequests(this, services, deadline, runs);
        this.body = new BodyReader(this, services, response, request);
    }

    void begin() {
        services.requestStarted();
        counted = true;
        body.begin();
    }

    /** Refuses the request at its deadline if its large body, for which memory is reserved, isn't complete by then. */
    void onLargeBodyAwaited() {
        deadline.set(routing.readHead());
        deadline.schedule(() -> refuse(EndReason.EXPIRED, 0, false));
    }

    /** Refuses the request, as there is no memory for its body. */
    void onNoMemory(boolean close) {
        if (done) {
            return;
        }
        deadline.set(routing.readHead());
        refuse(EndReason.MEMORY, deadline.boundRetryAfter(BodyAdmission.MAX_WAIT_MILLIS), close);
    }

    /** Refuses the request, as its body is larger than callers may send. */
    void onBodyTooLarge() {
        refuse(EndReason.BODY_TOO_LARGE, 0, true);
    }

    boolean isWaitingForMemory() {
        return body.isWaitingForMemory();
    }

    boolean isBodyComplete() {
        return body.isComplete();
    }

    void onBody(HttpContent content) {
        body.add(content);
    }

    /** Handles the request, whose body has come and has its memory. */
    void onBodyComplete() {
        deadline.cancelTimer();
        services.linkLoad().recordRequest(body.size());
        // Avoids work for disconnected callers: after a pause of the process, a request and the close that follows it
        // are read together. As the server reads until the socket is empty, the close is handled before this task runs.
        services.loop().execute(() -> {
            if (!done && response.isOpen()) {
                routing.begin();
            }
        });
    }

    /** Requests the first slot, once the route is found. */
    void onRouted() {
        if (refuseIfItEndsUpstreams()) {
            return;
        }
        deadline.schedule(this::onDeadline);
        requestFirstSlot();
    }

    private void requestFirstSlot() {
        runs.budget().recordRequest();
        lastEventId = head().resumeAfter();
        long now = EntryServices.now();
        send(slotRequests.createFirst(this, now), now);
    }

    private void send(UpstreamSlot slot, long now) {
        slotRequests.add();
        attempts.await(slot);
        services.slots().send(slot, now);
        services.scheduleCheck();
    }

    /** Creates a slot for a second attempt. */
    UpstreamSlot createRetrySlot(UpstreamSlot.Listener listener, long now) {
        return slotRequests.createRetry(attempts.upstream(), listener, now);
    }

    /** {@inheritDoc} */
    @Override
    public void onRejected(SlotReply.Rejected rejected) {
        attempts.endWait();
        if (runs.arePossible()) {
            fail(EndReason.UPSTREAM_FAILED, "no other upstream has a slot");
            return;
        }
        EndReason reason = rejected.reason() == SlotReply.Reason.QUOTA ? EndReason.QUOTA : EndReason.OVERLOAD;
        long retryAfterMillis = deadline.boundRetryAfter(rejected.retryAfterMillis());
        log.refused(reason, retryAfterMillis, rejected);
        release();
        response.writeError(reason, retryAfterMillis, false);
        endResponse();
    }

    /** {@inheritDoc} */
    @Override
    public void onGranted(UpstreamSlot granted) {
        attempts.endWait();
        if (!routing.isStillAllowed()) {
            // The view may have changed or expired since the check on arrival, for instance during a pause of the
            // entire process.
            granted.end(SlotOutcome.UNUSED);
            refuse(EndReason.UNCONFIRMED, deadline.boundRetryAfter(RequestRouting.CONFIRMATION_MILLIS), false);
            return;
        }
        if (refuseIfItEndsUpstreams()) {
            granted.end(SlotOutcome.UNUSED);
            return;
        }
        if (!hasRoomForBodyAt(granted.upstream())) {
            granted.end(SlotOutcome.UNUSED);
            retryElsewhere("upstream-full", true);
            return;
        }
        crashCheck.beginTrialIfSuspected();
        services.metrics().recordSlotWait(deadline.elapsedMillis());
        attempts.start(granted);
    }

    /** Returns whether the body may be sent to an upstream beside those that wait there. */
    boolean hasRoomForBodyAt(UpstreamLoad upstream) {
        return services.mayPileUp(upstream.upstream(), body.size());
    }

    /** Returns whether a connected attempt may be sent now; the second of two takes a retry from the budget. */
    boolean maySend(UpstreamAttempt connected, ConfirmedView viewAtGrant) {
        return routing.isStillUsable(connected.upstream(), viewAtGrant)
                && (!attempts.isSecond(connected) || runs.budget().tryTake());
    }

    /** Returns whether the body of the request may pass through another host of this system. */
    boolean mayBeRelayed() {
        return routing.mayBeRelayed();
    }

    /** Requests another slot, or refuses the request, after an attempt could not be sent to its granted upstream. */
    void onOutdated(UpstreamAttempt outdated) {
        if (routing.isStillAllowed()) {
            onNotRun(outdated, "outdated", false);
        } else if (!attempts.continueWithout(outdated, "outdated")) {
            refuse(EndReason.UNCONFIRMED, deadline.boundRetryAfter(RequestRouting.CONFIRMATION_MILLIS), false);
        }
    }

    /** Makes a second attempt if the first one is silent and the caller isn't what holds it up. */
    void checkSilence(long now) {
        if (!done && response.isWritable()) {
            attempts.checkSilence(now);
        }
    }

    /** Returns whether the request may be sent to an upstream beside the one that is silent. */
    boolean mayBeHedged() {
        return routing.isStillAllowed() && crashCheck.mayRetry();
    }

    /** Records complete events, which are about to be written, and keeps only the attempt that they belong to. */
    void onEvents(UpstreamAttempt receiving, long events, long latestId) {
        attempts.keep(receiving);
        eventCount += events;
        lastEventId = latestId;
        lastEventAt = EntryServices.now();
    }

    /**
     * Lets the upstream be checked after the connection to it was lost while it was running the request. The request is
     * sent to another upstream only after the check, as it may be what ended this one.
     */
    void onConnectionLost(
            UpstreamAttempt lost, boolean begun, long millis, String cause, Consumer<UpstreamProbe.Result> listener) {
        boolean continues = attempts.continueWithout(lost, cause);
        boolean retryAllowed = !continues && runs.isRetryAllowed();
        if (!continues) {
            attempts.holdSecond();
        }
        crashCheck.onConnectionLost(lost.upstream().upstream(), begun, millis, result -> {
            listener.accept(result);
            if (retryAllowed && !done) {
                retryOrFail(cause);
            }
        });
        if (!continues && !retryAllowed) {
            retryOrFail(cause);
        }
    }

    /** Records that an upstream has answered the request to the end. */
    void onResponseComplete(Upstream upstream, ResponseEnd end, long millis) {
        crashCheck.onResponseComplete(upstream, end, millis);
    }

    /** Refuses the request if it ends upstreams; returns whether it did. */
    private boolean refuseIfItEndsUpstreams() {
        Admission admission = crashCheck.admit();
        if (admission.isRefused()) {
            log.suspected(admission, crashCheck.suspectName(admission));
            refuse(EndReason.CRASH_SUSPECT, admission.retryAfterMillis(), false);
        }
        return admission.isRefused();
    }

    /**
     * Withdraws the request from its upstreams if it ends upstreams: from the second one while that hasn't answered, and
     * from the first one if its response hasn't begun.
     */
    void withdrawIfItEndsUpstreams() {
        if (done || !attempts.mayBeWithdrawn() || !crashCheck.isToBeWithdrawn()) {
            return;
        }
        services.metrics().countWithdrawn();
        if (attempts.withdraw()) {
            refuse(EndReason.CRASH_SUSPECT, Math.max(1, crashCheck.admit().retryAfterMillis()), false);
        }
    }

    /**
     * Retries or refuses a request that its upstream is certain not to have run, unless another attempt goes on.
     *
     * @param ended the attempt that did not run it.
     * @param reason why not, for the log and the metrics.
     * @param wasSent whether the request was sent, in which case the retry counts against the budget.
     */
    void onNotRun(UpstreamAttempt ended, String reason, boolean wasSent) {
        if (wasSent) {
            runs.onNotRun();
        }
        if (attempts.continueWithout(ended, reason)) {
            return;
        }
        retryElsewhere(reason, !wasSent);
    }

    private void retryElsewhere(String reason, boolean free) {
        if (runs.isNextAttemptAllowed()
                && slotRequests.isNextAllowed()
                && (free || runs.budget().tryTake())) {
            retry(reason);
        } else {
            refuse(EndReason.NOT_TAKEN, deadline.boundRetryAfter(NOT_TAKEN_RETRY_MILLIS), false);
        }
    }

    /**
     * Retries or fails a request after a failure that leaves open whether its upstream has run it, unless another attempt
     * goes on.
     */
    void onAttemptFailed(UpstreamAttempt failed, String reason) {
        if (!attempts.continueWithout(failed, reason)) {
            retryOrFail(reason);
        }
    }

    private void retryOrFail(String reason) {
        RetryVerdict verdict = runs.takeRetry();
        if (verdict == RetryVerdict.ALLOWED) {
            retry(reason);
        } else {
            fail(EndReason.UPSTREAM_FAILED, reason + " " + verdict);
        }
    }

    /** Takes a retry from the budget if the request may be retried, and returns whether it did. */
    boolean tryTakeRetry() {
        return !response.isHeadWritten()
                && runs.isRetryAllowed()
                && runs.budget().tryTake();
    }

    /** Sends the request to another upstream: by the second attempt that is being made, or by a new one. */
    void retry(String reason) {
        log.retried(reason, attempts.upstreamName(), slotRequests.count());
        if (attempts.isSecondPending()) {
            slotRequests.add();
            attempts.takePendingSecond();
            return;
        }
        long now = EntryServices.now();
        attempts.cancelSecond();
        send(slotRequests.createRetry(attempts.upstream(), this, now), now);
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        if (attempts.hasAttempt() || runs.arePossible()) {
            attempts.endAtDeadline();
            fail(EndReason.TIMEOUT, "timeout");
        } else {
            refuse(EndReason.EXPIRED, 0, false);
        }
    }

    void onCallerDisconnected() {
        if (done) {
            return;
        }
        log.disconnected(attempts.upstreamName());
        release();
    }

    void onCallerWritable() {
        if (response.isWritable()) {
            attempts.read();
        }
    }

    /** Returns the response to the caller. */
    CallerResponse response() {
        return response;
    }

    /** Writes the complete response of an upstream and ends the request. */
    void writeFull(HttpResponse upstreamHead, ByteBuf content) {
        response.writeFull(upstreamHead, content);
        releaseAndEndResponse();
    }

    /** Ends a response that was written in parts, and the request with it. */
    void writeEnd() {
        response.writeEnd();
        releaseAndEndResponse();
    }

    /** Counts the request as in progress throughout, as a planned stop doesn't wait once nothing is in progress. */
    private void releaseAndEndResponse() {
        services.requestStarted();
        release();
        endResponse();
        services.requestEnded();
    }

    /** Records the time from the arrival of the request to the first byte of its first response. */
    void recordFirstByte(long millis) {
        if (!firstByteReceived) {
            firstByteReceived = true;
            firstMillis = deadline.elapsedMillis();
        }
    }

    private void endResponse() {
        response.end(deadline.responseMillis());
    }

    void logAnswered(UpstreamAttempt answered, int status, ResponseEnd end) {
        log.answered(answered, status, firstMillis, end);
    }

    /** Ends the request with a response that states that it has not run, unless it may have run. */
    void refuse(EndReason reason, long retryAfterMillis, boolean close) {
        if (runs.arePossible()) {
            // A refusal states that the request has not run, which is not certain here.
            fail(EndReason.UPSTREAM_FAILED, reason.code());
            return;
        }
        log.refused(reason, retryAfterMillis, NO_REJECTION);
        release();
        response.writeError(reason, retryAfterMillis, close);
        endResponse();
    }

    /** Ends a request that may have run with an error response, or aborts its response if a part was sent. */
    private void fail(EndReason reason, String cause) {
        log.failed(reason, attempts.upstreamName(), cause);
        release();
        if (response.isHeadWritten()) {
            // The status is sent already; only an incomplete response can still show the failure.
            response.abort();
            return;
        }
        response.writeError(reason, 0, false);
        endResponse();
    }

    /** Releases the timer, the slot, the attempt and the body of the request, once. */
    private void release() {
        if (done) {
            return;
        }
        done = true;
        services.stopAwaitingConfirmation(this);
        body.endWaitForMemory();
        deadline.cancelTimer();
        attempts.cancel();
        response.discardGathered();
        services.removeRunning(this);
        crashCheck.endTrial();
        body.release();
        if (counted) {
            services.requestEnded();
        }
    }

    /** Returns whether the request has ended; its response may still be to be written. */
    boolean isDone() {
        return done;
    }

    HttpRequest request() {
        return request;
    }

    /** Returns the body, which is complete once the request has been routed. */
    ByteBuf body() {
        return body.bytes();
    }

    /** Returns the body with a reference count of its own, which the caller of this method releases. */
    ByteBuf retainedBody() {
        return body.bytes().retainedDuplicate();
    }

    RequestHead head() {
        return routing.head();
    }

    /** Returns the request with its route, null before its route is found. */
    RoutedRequest routed() {
        return routing.routed();
    }

    RouteRule route() {
        return routed().route();
    }

    /** Returns the highest identifier of an event that was written to the caller, or the one after which it resumes. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns since when the caller has waited for an event: its arrival or the latest event. */
    long silentSince() {
        return Math.max(arrivedAt(), lastEventAt);
    }

    /** Returns how many complete events were written to the caller. */
    long eventCount() {
        return eventCount;
    }

    /** Returns the attempts of the request. */
    RequestAttempts attempts() {
        return attempts;
    }

    /** Returns the time until the deadline in milliseconds, at least 1. */
    long remainingMillis() {
        return deadline.remainingMillis();
    }

    /** Returns when the request arrived, by {@link EntryServices#now()}. */
    long arrivedAt() {
        return deadline.arrivedAt();
    }
}
