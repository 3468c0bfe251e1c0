package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.decision.crash.Admission;
import org.radishspur.decision.dispatch.RetryAfterPolicy;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.OrganisationRule;
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
     * The share of the time until its deadline that a request may wait for a slot where no target latency applies: the
     * route has none, or the caller or this entry is retrying.
     */
    private static final double RETRY_WAIT_SHARE = 0.4;

    /**
     * The share of its deadline that a request waits for the view to be confirmed. A caller that is refused sooner
     * spends its only retry before the confirmation.
     */
    private static final double CONFIRMATION_WAIT_SHARE = 0.2;

    /**
     * The maximum time that a request waits for a slot, in milliseconds. Callers of streams disconnect after about two
     * seconds without an event; the rest is for the upstream's first event.
     */
    private static final long MAX_WAIT_MILLIS = 1_200;

    /**
     * The deadline of a request that states none, in milliseconds from its arrival; a route's timeout may end it
     * sooner.
     */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /**
     * The maximum number of slots that are requested for one request while upstreams don't run it; each slot costs a
     * round trip.
     */
    private static final int MAX_SLOT_REQUESTS = 4;

    /**
     * The time without a byte from which on an attempt on a broken path is not expected to go on, in milliseconds. A slot
     * that is released sooner isn't counted when the upstream was only silent.
     */
    private static final long MAX_SOUND_SILENCE_MILLIS = 3_000;

    private final EntryServices services;
    private final CallerResponse response;
    private final HttpRequest request;
    private final long arrivedAt;
    private final ExchangeLog log;
    private final CrashCheck crashCheck;
    private final RequestRuns runs;
    private final Hedge hedge;
    private final RequestBody body;

    private RequestHead head;
    private RoutedRequest routed;
    private boolean callerRetry;
    private boolean bodyComplete;
    private boolean bodyAdmitted;
    private Optional<BodyAdmission.Waiting> waitingForMemory = Optional.empty();
    private boolean counted;
    private boolean done;
    private long deadlineAt;
    private int slotRequests;
    private UpstreamSlot slot;
    private UpstreamAttempt attempt;
    private ScheduledFuture<?> timer;
    private boolean firstByteReceived;
    private long firstMillis;
    private long lastEventId;
    private long eventCount;

    EntryExchange(
            EntryServices services, FrontConnection connection, ChannelHandlerContext context, HttpRequest request) {
        this.services = services;
        this.response = new CallerResponse(services, connection, context, request, this::onCallerWritable);
        this.request = request;
        this.arrivedAt = EntryServices.now();
        this.log = new ExchangeLog(services, this);
        this.crashCheck = new CrashCheck(services, this, log);
        this.runs = new RequestRuns(this, services, crashCheck);
        this.hedge = new Hedge(this, services, log, runs);
        this.body = new RequestBody(services.heldBytes(), request);
    }

    void begin() {
        services.requestStarted();
        counted = true;
        if (tryReserveBody()) {
            onBodyAdmitted();
        } else {
            awaitMemory();
        }
    }

    private boolean tryReserveBody() {
        return body.tryReserve(services.limits().maxBodyBytes());
    }

    /** Reads the body on, now that there is memory for it. */
    private void onBodyAdmitted() {
        bodyAdmitted = true;
        endWaitForMemory();
        if (HttpUtil.is100ContinueExpected(request)) {
            response.writeContinue();
        }
        if (bodyComplete) {
            handleCompleteBody();
        } else if (services.heldBytes().isLimited() && body.mayBeLarge()) {
            awaitBody();
        }
    }

    /** Refuses the request at its deadline if the body, for which memory is reserved, isn't complete by then. */
    private void awaitBody() {
        head = services.dialect().decodeHead(request);
        deadlineAt = arrivedAt + statedDeadlineMillis();
        timer = services.loop()
                .schedule(() -> refuse(EndReason.EXPIRED, 0, false), remainingMillis(), TimeUnit.MILLISECONDS);
    }

    /** Stops reading the connection until there is memory for the body, or refuses the request. */
    private void awaitMemory() {
        if (body.isLarge()) {
            waitingForMemory =
                    services.bodyAdmission().await(this::tryReserveBody, this::onBodyAdmitted, this::refuseForMemory);
        }
        if (waitingForMemory.isPresent()) {
            services.metrics().countPausedBody();
            response.stopReading();
        } else {
            refuseForMemory();
        }
    }

    boolean isWaitingForMemory() {
        return waitingForMemory.isPresent();
    }

    private void endWaitForMemory() {
        waitingForMemory.ifPresent(waiting -> {
            waiting.cancel();
            response.resumeReading();
        });
        waitingForMemory = Optional.empty();
    }

    /** Refuses a request for whose body there is no memory; what comes of the body is discarded. */
    private void refuseForMemory() {
        if (done) {
            return;
        }
        head = services.dialect().decodeHead(request);
        deadlineAt = arrivedAt + statedDeadlineMillis();
        // A caller that waits for the interim response won't send the body, so that its next request can't be
        // distinguished from it.
        refuse(EndReason.MEMORY, maxRetryAfter(), !bodyAdmitted && HttpUtil.is100ContinueExpected(request));
    }

    private long statedDeadlineMillis() {
        return head.deadlineMillis() > 0 ? head.deadlineMillis() : DEFAULT_DEADLINE_MILLIS;
    }

    boolean isBodyComplete() {
        return bodyComplete;
    }

    void onBody(HttpContent content) {
        try {
            if (done) {
                bodyComplete |= content instanceof LastHttpContent;
                return;
            }
            if (body.bytes().readableBytes() + content.content().readableBytes()
                    > services.limits().maxBodyBytes()) {
                bodyComplete = true;
                refuse(EndReason.BODY_TOO_LARGE, 0, true);
                return;
            }
            if (!body.append(content.content())) {
                refuseForMemory();
                return;
            }
            if (content instanceof LastHttpContent) {
                bodyComplete = true;
                if (bodyAdmitted) {
                    handleCompleteBody();
                }
            }
        } finally {
            content.release();
        }
    }

    private void handleCompleteBody() {
        if (timer != null) {
            timer.cancel(false);
        }
        services.linkLoad().recordRequest(body.bytes().readableBytes());
        // Avoids work for disconnected callers: after a pause of the process, a request and the close that follows it
        // are read together. As the server reads until the socket is empty, the close is handled before this task runs.
        services.loop().execute(this::handleRequest);
    }

    private void handleRequest() {
        if (done || !response.isOpen()) {
            return;
        }
        head = services.dialect().decodeHead(request);
        if (head.requestId().isEmpty()) {
            refuse(EndReason.MALFORMED, 0, false);
            return;
        }
        long statedMillis = statedDeadlineMillis();
        deadlineAt = arrivedAt + statedMillis;
        if (services.isConfirmed()) {
            matchRoute(statedMillis);
        } else {
            awaitConfirmation(statedMillis);
        }
    }

    /**
     * Waits for the view to be confirmed before the request is routed. After a restart or the loss of the control
     * leader that takes about a second; a caller that is refused immediately would spend its only retry before it.
     */
    private void awaitConfirmation(long statedMillis) {
        long waitMillis = Math.min(MAX_WAIT_MILLIS, (long) (statedMillis * CONFIRMATION_WAIT_SHARE));
        timer = services.loop()
                .schedule(
                        () -> refuse(EndReason.UNCONFIRMED, maxRetryAfter(), false), waitMillis, TimeUnit.MILLISECONDS);
        services.awaitConfirmation(this, () -> {
            timer.cancel(false);
            matchRoute(statedMillis);
        });
    }

    /** Finds the route and checks the key, then sets the deadline and requests the first slot. */
    private void matchRoute(long statedMillis) {
        Catalogue catalogue = services.view().catalogue().orElseThrow();
        Optional<RouteRule> matched = catalogue.match(head.host(), head.path());
        if (matched.isEmpty()) {
            refuse(EndReason.ROUTE_UNKNOWN, 0, false);
            return;
        }
        RouteRule route = matched.get();
        Optional<OrganisationRule> organisation = head.apiKey().flatMap(catalogue::organisationByKey);
        // Chooses one of the pools of the route by their shares.
        String pool = route.choosePool(ThreadLocalRandom.current().nextDouble());
        routed = new RoutedRequest(head, route, organisation, pool);
        if (!route.allowsAnonymous() && !catalogue.organisations().isEmpty() && organisation.isEmpty()) {
            refuse(EndReason.KEY_UNKNOWN, 0, false);
            return;
        }
        deadlineAt = Math.min(deadlineAt, arrivedAt + route.timeoutMillis());
        if (!routed.hasAllowedDomain(services.regions())) {
            refuse(EndReason.REGION_UNAVAILABLE, maxRetryAfter(), false);
            return;
        }
        callerRetry = services.isCallerRetry(route.name(), statedMillis);
        if (refuseIfItEndsUpstreams()) {
            return;
        }
        timer = services.loop()
                .schedule(this::onDeadline, Math.max(1, deadlineAt - EntryServices.now()), TimeUnit.MILLISECONDS);
        requestFirstSlot();
    }

    private void requestFirstSlot() {
        runs.budget().recordRequest();
        long targetMillis = routed.route().targetLatencyMillis();
        // The scheduler shortens the wait for the whole target by the time that the pool needs to the first byte.
        boolean canBeOnTime = !callerRetry && targetMillis > 0;
        double waitMillis = canBeOnTime ? targetMillis : (deadlineAt - arrivedAt) * RETRY_WAIT_SHARE;
        lastEventId = head.resumeAfter();
        requestSlot(arrivedAt + (long) waitMillis, true);
    }

    /**
     * Requests a slot in the pool. The upstream of the last attempt and unreachable ones are used only if no other is
     * available.
     *
     * @param waitUntil the time until which to wait for the slot, by {@link EntryServices#now()}.
     * @param trialAllowed whether an upstream of a version under trial may run the request.
     */
    private void requestSlot(long waitUntil, boolean trialAllowed) {
        slotRequests++;
        long now = EntryServices.now();
        hedge.cancel();
        slot = createSlot(waitUntil, trialAllowed, this, now);
        attempt = null;
        services.slots().send(slot, now);
        services.scheduleCheck();
    }

    private UpstreamSlot createSlot(long waitUntil, boolean trialAllowed, UpstreamSlot.Listener listener, long now) {
        long waitMillis = Math.min(MAX_WAIT_MILLIS, Math.min(waitUntil, deadlineAt) - now);
        List<String> avoided = new ArrayList<>(services.slots().unreachable(routed.pool(), now));
        if (attempt != null) {
            avoided.add(attempt.upstream().run());
        }
        avoided.addAll(services.unansweredBodies().avoidedBy(bodyBytes()));
        SlotRequest slotRequest = buildSlotRequest(Math.max(0, waitMillis), trialAllowed, avoided, now);
        return services.slots().request(slotRequest, listener, now);
    }

    /** Creates a slot for another attempt, which waits for a share of the time that is left. */
    UpstreamSlot createRetrySlot(UpstreamSlot.Listener listener, long now) {
        return createSlot(now + (long) ((deadlineAt - now) * RETRY_WAIT_SHARE), false, listener, now);
    }

    private SlotRequest buildSlotRequest(long waitMillis, boolean trialAllowed, List<String> avoided, long now) {
        long targetLatencyMillis = routed.route().targetLatencyMillis();
        // The target latency counts from the caller's first try, so a retry of the caller has missed it.
        long targetMillis =
                callerRetry ? 0 : targetLatencyMillis > 0 ? arrivedAt + targetLatencyMillis - now : deadlineAt - now;
        return new SlotRequest(
                routed.pool(),
                services.failureDomain(),
                routed.organisationName(),
                runs.arePossible() ? 0 : routed.quotaCost(),
                routed.organisationRank(),
                callerRetry,
                trialAllowed,
                waitMillis,
                Math.max(0, targetMillis),
                deadlineAt - now,
                routed.expectedLoad(),
                avoided,
                List.of(),
                routed.terms(services.regions()));
    }

    /** {@inheritDoc} */
    @Override
    public void onRejected(SlotReply.Rejected rejected) {
        slot = null;
        if (runs.arePossible()) {
            fail(EndReason.UPSTREAM_FAILED, "no other upstream has a slot");
            return;
        }
        EndReason reason = rejected.reason() == SlotReply.Reason.QUOTA ? EndReason.QUOTA : EndReason.OVERLOAD;
        long retryAfterMillis = spreadRetryAfter(rejected.retryAfterMillis());
        log.refused(reason, retryAfterMillis, rejected.queueLength(), rejected.slots());
        release();
        response.writeError(reason, retryAfterMillis, false);
        endResponse();
    }

    /**
     * Returns the retry-after in milliseconds, spread at random so that callers refused together don't retry together.
     */
    private long spreadRetryAfter(long capacityAfterMillis) {
        double draw = ThreadLocalRandom.current().nextDouble();
        return RetryAfterPolicy.INSTANCE.retryAfterMillis(deadlineAt - EntryServices.now(), capacityAfterMillis, draw);
    }

    /** Returns the maximum retry-after in milliseconds, for refusals without information about capacity. */
    private long maxRetryAfter() {
        return RetryAfterPolicy.INSTANCE.maxRetryAfterMillis(deadlineAt - EntryServices.now());
    }

    /** {@inheritDoc} */
    @Override
    public void onGranted(UpstreamSlot granted) {
        slot = null;
        if (!services.isConfirmed() || !isStillAllowed()) {
            // The view may have changed or expired since the check on arrival, for instance during a pause of the
            // entire process.
            granted.end(SlotOutcome.UNUSED);
            refuse(EndReason.UNCONFIRMED, maxRetryAfter(), false);
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
        services.metrics().recordSlotWait(EntryServices.now() - arrivedAt);
        attempt = new UpstreamAttempt(this, services, granted);
        services.addRunning(this);
        // On a broken path that is tried again, only a second attempt can serve the request.
        attempt.start(routed.route().isRepeatable() && runs.budget().hasUnreserved());
    }

    /** Returns whether the body may be sent to an upstream beside those that wait there. */
    boolean hasRoomForBodyAt(UpstreamLoad upstream) {
        return services.mayPileUp(upstream.upstream(), bodyBytes());
    }

    private int bodyBytes() {
        return body.bytes().readableBytes();
    }

    /** Returns whether a connected attempt may be sent now; the second of two takes a retry from the budget. */
    boolean maySend(UpstreamAttempt connected, ConfirmedView viewAtGrant) {
        return isStillUsable(connected.upstream(), viewAtGrant)
                && (!hedge.isMadeBy(connected) || runs.budget().tryTake());
    }

    /** Returns whether the current view still allows the request to be sent to the granted upstream. */
    private boolean isStillUsable(UpstreamLoad upstream, ConfirmedView viewAtGrant) {
        long now = EntryServices.now();
        boolean unchanged = services.view().hasSameContent(viewAtGrant);
        return services.isConfirmed()
                && services.slots().isUsable(upstream, now)
                && (unchanged || isStillAllowed())
                && isInAllowedRegion(upstream);
    }

    /** Returns whether an upstream lies in a region that the request may reach, by the settings of now. */
    private boolean isInAllowedRegion(UpstreamLoad upstream) {
        return routed.hasAllowedDomain(services.regions())
                && routed.terms(services.regions())
                        .allowsDomain(upstream.upstream().failureDomain());
    }

    /** Returns whether the body of the request may pass through another host of this system. */
    boolean mayBeRelayed() {
        return services.regions().allowsAnyHost(routed.allowedRegions());
    }

    /** Returns whether a connected attempt has to wait before it is sent. */
    boolean isHeld(UpstreamAttempt connected) {
        return hedge.isHeld(connected);
    }

    /** Requests another slot, or refuses the request, after an attempt could not be sent to its granted upstream. */
    void onOutdated(UpstreamAttempt outdated) {
        if (services.isConfirmed() && isStillAllowed()) {
            onNotRun(outdated, "outdated", false);
        } else if (!continuesWithout(outdated, "outdated")) {
            refuse(EndReason.UNCONFIRMED, maxRetryAfter(), false);
        }
    }

    /** Returns whether the current catalogue still allows the request. */
    private boolean isStillAllowed() {
        return routed.isAllowedBy(services.view().catalogue().orElseThrow());
    }

    /**
     * Makes a second attempt if the upstream has stopped sending, or its path is broken, and the request may run again.
     * The first attempt goes on, as its response may still come; on a broken path its slot is released once it has been
     * silent for longer than a sound upstream, so that it doesn't keep the requests of others waiting.
     */
    void checkSilence(long now) {
        if (done || attempt == null || !response.isWritable()) {
            return;
        }
        boolean pathBroken = attempt.isStalledOnBrokenPath(now);
        if (!pathBroken && !attempt.isSilent(now)) {
            return;
        }
        if (attempt.beginSilence()) {
            log.silent(upstreamName(), attempt.silentMillis(now), pathBroken, runs.verdict());
        }
        if (pathBroken && attempt.silentMillis(now) > MAX_SOUND_SILENCE_MILLIS) {
            attempt.releaseSlot();
        }
        hedge.request(pathBroken, now);
    }

    /** Returns whether the request may be sent to an upstream beside the one that is silent. */
    boolean mayBeHedged() {
        return services.isConfirmed() && isStillAllowed() && crashCheck.mayRetry();
    }

    /** Returns whether a second attempt is being made or running, which may go on when the first one ends. */
    boolean hasSecondAttempt() {
        return hedge.isMade();
    }

    /** Returns whether two attempts have been sent, so that neither may end the request alone. */
    boolean isHedged() {
        return hedge.isRunning();
    }

    /** Records that the upstream of an attempt has sent something. */
    void onProgress(UpstreamAttempt progressing) {
        if (progressing == attempt) {
            hedge.cancelUnlessSent();
        }
    }

    /** Records complete events, which are about to be written, and keeps only the attempt that they belong to. */
    void onEvents(UpstreamAttempt receiving, long events, long latestId) {
        keep(receiving);
        eventCount += events;
        lastEventId = latestId;
    }

    /** Keeps the attempt that continues the response, and cancels the other one. */
    void keep(UpstreamAttempt continuing) {
        if (hedge.isMadeBy(continuing)) {
            UpstreamAttempt silent = attempt;
            attempt = hedge.takeRunning().orElseThrow();
            silent.abandon();
        } else {
            hedge.cancel();
        }
    }

    /** Lets the request go on with its other attempt after one has ended, and returns whether there is one. */
    private boolean continuesWithout(UpstreamAttempt ended, String cause) {
        if (hedge.isMadeBy(ended)) {
            hedge.onFailed(cause);
            return true;
        }
        Optional<UpstreamAttempt> other = hedge.takeRunning();
        other.ifPresent(running -> attempt = running);
        return other.isPresent();
    }

    /**
     * Lets the upstream be checked after the connection to it was lost while it was running the request. The request is
     * sent to another upstream only after the check, as it may be what ended this one.
     */
    void onConnectionLost(
            UpstreamAttempt lost, boolean begun, long millis, String cause, Consumer<UpstreamProbe.Result> listener) {
        boolean continues = continuesWithout(lost, cause);
        boolean retryAllowed = !continues && runs.isRetryAllowed();
        if (!continues) {
            hedge.hold();
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
        if (done || attempt == null || !hedge.isUnanswered()) {
            return;
        }
        boolean unanswered = attempt.isUnanswered();
        if ((unanswered || hedge.isMade()) && crashCheck.isToBeWithdrawn()) {
            services.metrics().countWithdrawn();
            hedge.cancel();
            if (unanswered) {
                attempt.abandon();
                refuse(EndReason.CRASH_SUSPECT, maxRetryAfter(), false);
            }
        }
    }

    /** Counts the request as possibly run, since it is being sent. */
    void onSent(UpstreamAttempt sent) {
        runs.onSent();
        if (hedge.isMadeBy(sent)) {
            hedge.onSent();
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
        if (continuesWithout(ended, reason)) {
            return;
        }
        retryElsewhere(reason, !wasSent);
    }

    private void retryElsewhere(String reason, boolean free) {
        if (runs.isNextAttemptAllowed()
                && slotRequests < MAX_SLOT_REQUESTS
                && (free || runs.budget().tryTake())) {
            retry(reason);
        } else {
            refuse(EndReason.NOT_TAKEN, maxRetryAfter(), false);
        }
    }

    /**
     * Retries or fails a request after a failure that leaves open whether its upstream has run it, unless another attempt
     * goes on.
     */
    void onAttemptFailed(UpstreamAttempt failed, String reason) {
        if (!continuesWithout(failed, reason)) {
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
        log.retried(reason, upstreamName(), slotRequests);
        if (hedge.isPending()) {
            slotRequests++;
            hedge.handOverPending();
            return;
        }
        long remaining = deadlineAt - EntryServices.now();
        requestSlot(EntryServices.now() + (long) (remaining * RETRY_WAIT_SHARE), false);
    }

    /** Waits for a slot that was requested for a second attempt, after the first one has ended. */
    void adopt(UpstreamSlot requested) {
        slot = requested;
        attempt = null;
    }

    /** Goes on with a second attempt that isn't sent yet, after the first one has ended. */
    void adopt(UpstreamAttempt connecting) {
        attempt = connecting;
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        if (attempt != null || runs.arePossible()) {
            if (attempt != null) {
                attempt.endAtDeadline();
            }
            fail(EndReason.TIMEOUT, "timeout");
        } else {
            refuse(EndReason.EXPIRED, 0, false);
        }
    }

    void onCallerDisconnected() {
        if (done) {
            return;
        }
        log.disconnected(upstreamName());
        release();
    }

    void onCallerWritable() {
        if (attempt != null && response.isWritable()) {
            attempt.read();
            hedge.read();
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
            firstMillis = EntryServices.now() - arrivedAt;
        }
    }

    private void endResponse() {
        response.end(deadlineAt == 0 ? DEFAULT_DEADLINE_MILLIS : remainingMillis());
    }

    void logAnswered(int status, UpstreamLoad upstream, long longestPauseMillis, ResponseEnd end, int restBytes) {
        log.answered(status, upstream.upstream().id(), firstMillis, longestPauseMillis, end, restBytes);
    }

    /** Returns the identifier of the upstream of the current attempt, or an empty text where there is none. */
    private String upstreamName() {
        return attempt == null ? "" : attempt.upstream().upstream().id();
    }

    /** Ends the request with a response that states that it has not run, unless it may have run. */
    private void refuse(EndReason reason, long retryAfterMillis, boolean close) {
        if (runs.arePossible()) {
            // A refusal states that the request has not run, which is not certain here.
            fail(EndReason.UPSTREAM_FAILED, reason.code());
            return;
        }
        log.refused(reason, retryAfterMillis, 0, 0);
        release();
        response.writeError(reason, retryAfterMillis, close);
        endResponse();
    }

    /** Ends a request that may have run with an error response, or aborts its response if a part was sent. */
    private void fail(EndReason reason, String cause) {
        log.failed(reason, upstreamName(), cause);
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
        endWaitForMemory();
        if (timer != null) {
            timer.cancel(false);
        }
        if (slot != null) {
            slot.cancel();
        }
        if (attempt != null) {
            attempt.abandon();
        }
        hedge.cancel();
        response.discardGathered();
        services.removeRunning(this);
        crashCheck.endTrial();
        body.release();
        if (counted) {
            services.requestEnded();
        }
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
        return head;
    }

    /** Returns the request with its route, null before its route is found. */
    RoutedRequest routed() {
        return routed;
    }

    RouteRule route() {
        return routed.route();
    }

    /** Returns the highest identifier of an event that was written to the caller, or the one after which it resumes. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns how many complete events were written to the caller. */
    long eventCount() {
        return eventCount;
    }

    /** Returns the upstream of the first of two attempts, or of the only one. */
    UpstreamLoad firstUpstream() {
        return attempt.upstream();
    }

    /** Returns the time until the deadline in milliseconds, at least 1. */
    long remainingMillis() {
        return Math.max(1, deadlineAt - EntryServices.now());
    }

    /** Returns when the request arrived, by {@link EntryServices#now()}. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns whether the caller is retrying after a refusal. */
    boolean isCallerRetry() {
        return callerRetry;
    }
}
