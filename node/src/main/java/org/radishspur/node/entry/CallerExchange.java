package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.radishspur.decision.dispatch.RetryAfterPolicy;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotOutcome;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotRequest;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.model.catalogue.RouteRule;
import org.radishspur.node.dialect.CallerDialect.RequestHead;
import org.radishspur.node.schedule.ConfirmedView;

/**
 * Brings one request from its head to its one final answer. All of it happens on the traffic thread.
 */
final class CallerExchange implements UpstreamSlot.Listener {
    /** The part of a route's target time that a request may wait for a place; the rest is for the answer. */
    private static final double FIRST_TRY_WAIT_SHARE = 0.5;

    /** The part of its remaining time that a request may wait that can't be on time any more. */
    private static final double RETRY_WAIT_SHARE = 0.4;

    /**
     * The part of its time that a request waits for the catalogue to be confirmed; a caller that is sent away sooner spends
     * its only retry on coming back too soon.
     */
    private static final double CONFIRMATION_WAIT_SHARE = 0.2;

    /**
     * The longest time that a request waits for a place, in milliseconds. Callers of streams hang up after some two seconds
     * without an event; the rest is for the upstream's first one.
     */
    private static final long MAX_WAIT_MILLIS = 1_200;

    /** The time a caller has that states none, in milliseconds, where its route's timeout doesn't end it sooner. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** To how many upstreams a request is offered at most that none has run; each offer takes a way there and back. */
    private static final int MAX_SLOT_REQUESTS = 4;

    /** With less time than this left another upstream isn't tried, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 60;

    private final EntryServices services;
    private final CallerResponse response;
    private final HttpRequest request;
    private final long arrivedAt;
    private final ExchangeLog log;
    private final ByteBuf body = Unpooled.buffer(0);

    private RequestHead head;
    private RouteRule route;
    private Optional<OrganisationRule> organisation = Optional.empty();
    private String poolName = "";
    private int organisationRank;
    private boolean callerRetry;
    private boolean bodyComplete;
    private boolean counted;
    private boolean done;
    private long deadlineAt;
    private int slotRequests;
    private int possibleRuns;
    private UpstreamSlot slot;
    private UpstreamAttempt attempt;
    private ConfirmedView viewAtGrant = ConfirmedView.NOTHING;
    private ScheduledFuture<?> timer;
    private boolean firstByteReceived;
    private long firstMillis;
    private EventSplitter splitter;

    CallerExchange(
            EntryServices services, FrontConnection connection, ChannelHandlerContext context, HttpRequest request) {
        this.services = services;
        this.response = new CallerResponse(services, connection, context, request);
        this.request = request;
        this.arrivedAt = EntryServices.now();
        this.log = new ExchangeLog(services, this);
    }

    void begin() {
        services.requestStarted();
        counted = true;
        if (HttpUtil.is100ContinueExpected(request)) {
            response.writeContinue();
        }
    }

    boolean isBodyComplete() {
        return bodyComplete;
    }

    void onBody(HttpContent content) {
        try {
            if (done) {
                return;
            }
            if (body.readableBytes() + content.content().readableBytes()
                    > services.limits().bodyBytes()) {
                bodyComplete = true;
                refuse(EndReason.BODY_TOO_LARGE, 0, true);
                return;
            }
            body.writeBytes(content.content());
            if (content instanceof LastHttpContent) {
                bodyComplete = true;
                // Guards against work for callers who have left: after a stall, a request and the close behind it
                // wait in the socket together. The connection is closed before this task runs, since the front reads
                // to the end of what has come.
                services.loop().execute(this::handleRequest);
            }
        } finally {
            content.release();
        }
    }

    private void handleRequest() {
        if (done || !response.isOpen()) {
            return;
        }
        head = services.dialect().read(request);
        if (head.request().isEmpty()) {
            refuse(EndReason.MALFORMED, 0, false);
            return;
        }
        long stated = head.deadlineMillis() > 0 ? head.deadlineMillis() : DEFAULT_DEADLINE_MILLIS;
        deadlineAt = arrivedAt + stated;
        if (services.isConfirmed()) {
            route(stated);
        } else {
            awaitConfirmation(stated);
        }
    }

    /**
     * Waits a moment for the catalogue to be confirmed. After a restart or the loss of the control leader that takes about
     * a second, and a caller that is sent away at once spends its only retry on coming back too soon.
     */
    private void awaitConfirmation(long stated) {
        long wait = Math.min(MAX_WAIT_MILLIS, (long) (stated * CONFIRMATION_WAIT_SHARE));
        timer = services.loop()
                .schedule(() -> refuse(EndReason.UNCONFIRMED, latestRetryAfter(), false), wait, TimeUnit.MILLISECONDS);
        services.awaitConfirmation(this, () -> {
            timer.cancel(false);
            route(stated);
        });
    }

    private void route(long stated) {
        Catalogue catalogue = services.view().catalogue().orElseThrow();
        Optional<RouteRule> matched = catalogue.match(head.host(), head.path());
        if (matched.isEmpty()) {
            refuse(EndReason.ROUTE_UNKNOWN, 0, false);
            return;
        }
        route = matched.get();
        organisation = head.key().flatMap(catalogue::holderOf);
        if (!route.anonymous() && !catalogue.organisations().isEmpty() && organisation.isEmpty()) {
            refuse(EndReason.KEY_UNKNOWN, 0, false);
            return;
        }
        deadlineAt = Math.min(deadlineAt, arrivedAt + route.timeoutMillis());
        callerRetry = services.isCallerRetry(route.name(), stated);
        timer = services.loop()
                .schedule(this::onDeadline, Math.max(1, deadlineAt - EntryServices.now()), TimeUnit.MILLISECONDS);
        requestFirstSlot();
    }

    private void requestFirstSlot() {
        poolName = route.choosePool(ThreadLocalRandom.current().nextDouble());
        services.retryBudget(poolName).requested();
        organisationRank = organisation
                .map(OrganisationRule::priority)
                .filter(priority -> priority >= 0)
                .orElse(0);
        double wait = callerRetry || route.targetLatencyMillis() <= 0
                ? (deadlineAt - arrivedAt) * RETRY_WAIT_SHARE
                : route.targetLatencyMillis() * FIRST_TRY_WAIT_SHARE;
        splitter = new EventSplitter(head.resumeAfter());
        requestSlot(arrivedAt + (long) wait, true);
    }

    private void requestSlot(long waitUntil, boolean mayTry) {
        slotRequests++;
        long now = EntryServices.now();
        long wait = Math.min(MAX_WAIT_MILLIS, Math.min(waitUntil, deadlineAt) - now);
        List<String> avoided = new ArrayList<>(services.slots().unreachable(poolName, now));
        if (attempt != null) {
            avoided.add(attempt.upstream().run());
        }
        attempt = null;
        slot = services.slots().request(buildSlotRequest(Math.max(0, wait), mayTry, avoided, now), this, now);
        services.slots().send(slot, now);
        services.scheduleCheck();
    }

    private SlotRequest buildSlotRequest(long waitMillis, boolean mayTry, List<String> avoided, long now) {
        // The target counts from the caller's first try, which a retry has behind it.
        long target = callerRetry
                ? 0
                : route.targetLatencyMillis() > 0 ? arrivedAt + route.targetLatencyMillis() - now : deadlineAt - now;
        return new SlotRequest(
                poolName,
                services.failureDomain(),
                organisation.map(OrganisationRule::name).orElse(""),
                possibleRuns == 0 ? quotaCost() : 0,
                organisationRank,
                callerRetry,
                mayTry,
                waitMillis,
                Math.max(0, target),
                deadlineAt - now,
                buildWork(),
                avoided);
    }

    private double quotaCost() {
        return organisation
                .map(rule -> rule.cost(head.promptTokens() + head.outputTokens()))
                .orElse(0.0);
    }

    private SlotRequest.Work buildWork() {
        boolean generates = route.kind() == RequestKind.STREAM;
        return new SlotRequest.Work(
                head.promptTokens(),
                generates ? expectedTokens() : 0,
                generates ? head.outputTokens() : 0,
                route.priority(),
                head.prefix(),
                head.prefixTokens());
    }

    /** Returns how many tokens the caller expects; its estimate may lie beyond the limit that it sets itself. */
    long expectedTokens() {
        return head.outputTokens() > 0 ? Math.min(head.expectedTokens(), head.outputTokens()) : head.expectedTokens();
    }

    /** {@inheritDoc} */
    @Override
    public void onRejected(SlotReply.Rejected rejected) {
        slot = null;
        if (possibleRuns > 0) {
            fail(EndReason.UPSTREAM_FAILED, "no other upstream has a slot");
            return;
        }
        EndReason reason = rejected.reason() == SlotReply.Reason.QUOTA ? EndReason.QUOTA : EndReason.OVERLOAD;
        long retryAfterMillis = spreadRetryAfter(rejected.retryMillis());
        log.refused(reason, retryAfterMillis, rejected.waiting(), rejected.slots());
        release();
        response.writeError(reason, retryAfterMillis, false);
    }

    /** Returns when a caller should retry for whom there may be room after a time, apart from others like it. */
    private long spreadRetryAfter(long roomAfter) {
        double draw = ThreadLocalRandom.current().nextDouble();
        return RetryAfterPolicy.INSTANCE.spread(deadlineAt - EntryServices.now(), roomAfter, draw);
    }

    private long latestRetryAfter() {
        return RetryAfterPolicy.INSTANCE.latest(deadlineAt - EntryServices.now());
    }

    /** {@inheritDoc} */
    @Override
    public void onGranted(UpstreamSlot granted) {
        slot = null;
        if (!services.isConfirmed() || !isStillAllowed()) {
            // Guards against a pause of the whole process between the check on arrival and this moment.
            granted.end(SlotOutcome.UNUSED);
            refuse(EndReason.UNCONFIRMED, latestRetryAfter(), false);
            return;
        }
        services.metrics().recordSlotWait(EntryServices.now() - arrivedAt);
        viewAtGrant = services.view();
        attempt = new UpstreamAttempt(this, services, granted);
        services.addRunning(this);
        attempt.start();
    }

    /** Returns whether what is in force now still lets the request go to the upstream that it was granted. */
    boolean mayStillBeSent(UpstreamLoad upstream) {
        boolean unchanged = services.view().saysTheSame(viewAtGrant);
        return services.isConfirmed()
                && (unchanged || isStillAllowed() && services.slots().mayUse(upstream));
    }

    /** Learns that the request was not sent, because what is in force has changed since its slot was granted. */
    void onOutdated() {
        if (services.isConfirmed() && isStillAllowed()) {
            onNotRun("outdated", false);
        } else {
            refuse(EndReason.UNCONFIRMED, latestRetryAfter(), false);
        }
    }

    /** Returns whether the catalogue in force now still lets this caller's request go to its pool. */
    private boolean isStillAllowed() {
        Catalogue catalogue = services.view().catalogue().orElseThrow();
        boolean routed = catalogue
                .match(head.host(), head.path())
                .filter(found ->
                        found.shares().stream().anyMatch(share -> share.pool().equals(poolName)))
                .isPresent();
        boolean known = organisation.isEmpty()
                || head.key()
                        .flatMap(catalogue::holderOf)
                        .filter(holder ->
                                holder.name().equals(organisation.get().name()))
                        .isPresent();
        return routed && known;
    }

    /** Looks whether an answer has stopped coming that another upstream may give as well. */
    void checkSilence(long now) {
        if (!done && attempt != null && isRetryAllowed() && attempt.isSilent(now)) {
            attempt.abandon();
            onAttemptFailed("silence");
        }
    }

    private boolean isRetryAllowed() {
        return route.mayRepeat()
                && possibleRuns < route.maximumUpstreams()
                && (route.kind() == RequestKind.STREAM || !response.isHeadWritten())
                && deadlineAt - EntryServices.now() > MIN_RETRY_MILLIS;
    }

    /** Learns that the request is on its way, so that from now on it may run. */
    void onSent() {
        possibleRuns++;
    }

    /** Learns that the upstream has provably not run the request. */
    void onNotRun(String reason, boolean arrived) {
        possibleRuns -= arrived ? 1 : 0;
        boolean allowed = possibleRuns == 0 ? deadlineAt - EntryServices.now() > MIN_RETRY_MILLIS : isRetryAllowed();
        if (allowed
                && slotRequests < MAX_SLOT_REQUESTS
                && (!arrived || services.retryBudget(poolName).take())) {
            retry(reason);
        } else {
            refuse(EndReason.NOT_TAKEN, latestRetryAfter(), false);
        }
    }

    /** Learns that the upstream has failed in a way that leaves open whether the request has run. */
    void onAttemptFailed(String reason) {
        if (isRetryAllowed() && services.retryBudget(poolName).take()) {
            splitter.discardPartial();
            retry(reason);
        } else {
            fail(EndReason.UPSTREAM_FAILED, reason);
        }
    }

    /** Returns whether a failure that the upstream answers with should be tried elsewhere instead. */
    boolean tryTakeRetry() {
        return !response.isHeadWritten()
                && isRetryAllowed()
                && services.retryBudget(poolName).take();
    }

    /** Sends the request to another upstream. */
    void retry(String reason) {
        log.retried(reason, upstreamName(), slotRequests);
        long left = deadlineAt - EntryServices.now();
        requestSlot(EntryServices.now() + (long) (left * RETRY_WAIT_SHARE), false);
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        if (attempt != null || possibleRuns > 0) {
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
        }
    }

    /** Returns what is written to the caller. */
    CallerResponse response() {
        return response;
    }

    /** Writes a whole answer of the upstream, and ends the request. */
    void writeFull(HttpResponse upstreamHead, ByteBuf content) {
        response.writeFull(upstreamHead, content);
        release();
        response.onWritten();
    }

    /** Ends an answer that was passed on part by part, and the request with it. */
    void writeEnd() {
        response.writeEnd();
        release();
        response.onWritten();
    }

    void recordFirstByte(long millis) {
        if (!firstByteReceived) {
            firstByteReceived = true;
            firstMillis = EntryServices.now() - arrivedAt;
        }
    }

    void logAnswered(int status, UpstreamLoad upstream, long longestPauseMillis) {
        log.answered(status, upstream.upstream().id(), firstMillis, longestPauseMillis);
    }

    /** Returns the upstream that has the request, or an empty text. */
    private String upstreamName() {
        return attempt == null ? "" : attempt.upstream().upstream().id();
    }

    private void refuse(EndReason reason, long retryAfterMillis, boolean close) {
        if (possibleRuns > 0) {
            // A refusal says that nothing has run, which would not be true here.
            fail(EndReason.UPSTREAM_FAILED, reason.code());
            return;
        }
        log.refused(reason, retryAfterMillis, 0, 0);
        release();
        response.writeError(reason, retryAfterMillis, close);
    }

    private void fail(EndReason reason, String cause) {
        log.failed(reason, upstreamName(), cause);
        release();
        if (response.isHeadWritten()) {
            // The answer has begun: an end that does not look complete is all that can still be said.
            response.abort();
            return;
        }
        response.writeError(reason, 0, false);
    }

    /** Gives everything back that the request holds. */
    private void release() {
        if (done) {
            return;
        }
        done = true;
        services.stopAwaitingConfirmation(this);
        if (timer != null) {
            timer.cancel(false);
        }
        if (slot != null) {
            slot.cancel();
        }
        if (attempt != null) {
            attempt.abandon();
        }
        services.removeRunning(this);
        body.release();
        if (counted) {
            services.requestEnded();
        }
    }

    HttpRequest request() {
        return request;
    }

    ByteBuf retainedBody() {
        return body.retainedDuplicate();
    }

    RequestHead head() {
        return head;
    }

    RouteRule route() {
        return route;
    }

    Optional<OrganisationRule> organisation() {
        return organisation;
    }

    EventSplitter splitter() {
        return splitter;
    }

    long remainingMillis() {
        return Math.max(1, deadlineAt - EntryServices.now());
    }

    long arrivedAt() {
        return arrivedAt;
    }

    int organisationRank() {
        return organisationRank;
    }

    /** Returns whether the caller retries after a refusal. */
    boolean isCallerRetry() {
        return callerRetry;
    }
}
