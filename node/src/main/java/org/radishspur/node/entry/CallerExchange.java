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
    private static final double FRESH_WAIT = 0.5;

    /** The part of its remaining time that a request may wait that can't be on time any more. */
    private static final double LATE_WAIT = 0.4;

    /**
     * The part of its time that a request waits for the catalogue to be confirmed; a caller that is sent away sooner spends
     * its only retry on coming back too soon.
     */
    private static final double CONFIRMATION_WAIT = 0.2;

    /**
     * The longest time that a request waits for a place, in milliseconds. Callers of streams hang up after some two seconds
     * without an event; the rest is for the upstream's first one.
     */
    private static final long LONGEST_WAIT_MILLIS = 1_200;

    /** The time a caller has that states none, in milliseconds, where its route's timeout doesn't end it sooner. */
    private static final long UNSTATED_DEADLINE_MILLIS = 30_000;

    /** To how many upstreams a request is offered at most that none has run; each offer takes a way there and back. */
    private static final int MOST_OFFERS = 4;

    /** With less time than this left another upstream isn't tried, in milliseconds. */
    private static final long LEAST_RETRY_MILLIS = 60;

    private final EntryServices services;
    private final CallerAnswer answer;
    private final HttpRequest request;
    private final long arrivedAt;
    private final ExchangeLog log;
    private final ByteBuf body = Unpooled.buffer(0);

    private RequestHead head;
    private RouteRule route;
    private Optional<OrganisationRule> organisation = Optional.empty();
    private String poolName = "";
    private int organisationRank;
    private boolean late;
    private boolean bodyWhole;
    private boolean counted;
    private boolean done;
    private long endsAt;
    private int offers;
    private int runs;
    private UpstreamSlot slot;
    private UpstreamAttempt attempt;
    private ConfirmedView viewAtGrant = ConfirmedView.NOTHING;
    private ScheduledFuture<?> timer;
    private boolean firstSeen;
    private long firstMillis;
    private EventSplitter splitter;

    CallerExchange(
            EntryServices services, FrontConnection connection, ChannelHandlerContext context, HttpRequest request) {
        this.services = services;
        this.answer = new CallerAnswer(services, connection, context, request);
        this.request = request;
        this.arrivedAt = EntryServices.now();
        this.log = new ExchangeLog(services, this);
    }

    void begin() {
        services.began();
        counted = true;
        if (HttpUtil.is100ContinueExpected(request)) {
            answer.writeContinue();
        }
    }

    boolean isBodyWhole() {
        return bodyWhole;
    }

    void onBody(HttpContent content) {
        try {
            if (done) {
                return;
            }
            if (body.readableBytes() + content.content().readableBytes()
                    > services.limits().bodyBytes()) {
                bodyWhole = true;
                refuse(EndReason.BODY_TOO_LARGE, 0, true);
                return;
            }
            body.writeBytes(content.content());
            if (content instanceof LastHttpContent) {
                bodyWhole = true;
                // Guards against work for callers who have left: after a stall, a request and the close behind it
                // wait in the socket together. The connection is closed before this task runs, since the front reads
                // to the end of what has come.
                services.loop().execute(this::proceed);
            }
        } finally {
            content.release();
        }
    }

    private void proceed() {
        if (done || !answer.isOpen()) {
            return;
        }
        head = services.dialect().read(request);
        if (head.request().isEmpty()) {
            refuse(EndReason.MALFORMED, 0, false);
            return;
        }
        long stated = head.deadlineMillis() > 0 ? head.deadlineMillis() : UNSTATED_DEADLINE_MILLIS;
        endsAt = arrivedAt + stated;
        if (services.isCurrent()) {
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
        long wait = Math.min(LONGEST_WAIT_MILLIS, (long) (stated * CONFIRMATION_WAIT));
        timer = services.loop()
                .schedule(() -> refuse(EndReason.UNCONFIRMED, latestRetryAfter(), false), wait, TimeUnit.MILLISECONDS);
        services.awaits(this, () -> {
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
        endsAt = Math.min(endsAt, arrivedAt + route.timeoutMillis());
        late = services.isReturning(route.name(), stated);
        timer = services.loop()
                .schedule(this::onTimeout, Math.max(1, endsAt - EntryServices.now()), TimeUnit.MILLISECONDS);
        seekSlot();
    }

    private void seekSlot() {
        poolName = route.choosePool(ThreadLocalRandom.current().nextDouble());
        services.budget(poolName).requested();
        organisationRank = organisation
                .map(OrganisationRule::priority)
                .filter(priority -> priority >= 0)
                .orElse(0);
        double wait = late || route.targetLatencyMillis() <= 0
                ? (endsAt - arrivedAt) * LATE_WAIT
                : route.targetLatencyMillis() * FRESH_WAIT;
        splitter = new EventSplitter(head.resumeAfter());
        ask(arrivedAt + (long) wait, true);
    }

    private void ask(long waitUntil, boolean mayTry) {
        offers++;
        long now = EntryServices.now();
        long wait = Math.min(LONGEST_WAIT_MILLIS, Math.min(waitUntil, endsAt) - now);
        List<String> avoided = new ArrayList<>(services.slots().unreachable(poolName, now));
        if (attempt != null) {
            avoided.add(attempt.upstream().run());
        }
        attempt = null;
        slot = services.slots().request(slotRequest(Math.max(0, wait), mayTry, avoided, now), this, now);
        services.slots().send(slot, now);
        services.watch();
    }

    private SlotRequest slotRequest(long waitMillis, boolean mayTry, List<String> avoided, long now) {
        // The target counts from the caller's first try, which a retry has behind it.
        long target = late
                ? 0
                : route.targetLatencyMillis() > 0 ? arrivedAt + route.targetLatencyMillis() - now : endsAt - now;
        return new SlotRequest(
                poolName,
                services.failureDomain(),
                organisation.map(OrganisationRule::name).orElse(""),
                runs == 0 ? quotaCost() : 0,
                organisationRank,
                late,
                mayTry,
                waitMillis,
                Math.max(0, target),
                endsAt - now,
                work(),
                avoided);
    }

    private double quotaCost() {
        return organisation
                .map(rule -> rule.cost(head.promptTokens() + head.outputTokens()))
                .orElse(0.0);
    }

    private SlotRequest.Work work() {
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
        if (runs > 0) {
            fail(EndReason.UPSTREAM_FAILED, "no other upstream has a slot");
            return;
        }
        EndReason reason = rejected.reason() == SlotReply.Reason.QUOTA ? EndReason.QUOTA : EndReason.OVERLOAD;
        long retryAfterMillis = spreadRetryAfter(rejected.retryMillis());
        log.refused(reason, retryAfterMillis, rejected.waiting(), rejected.slots());
        release();
        answer.writeOwn(reason, retryAfterMillis, false);
    }

    /** Returns when a caller should retry for whom there may be room after a time, apart from others like it. */
    private long spreadRetryAfter(long roomAfter) {
        double draw = ThreadLocalRandom.current().nextDouble();
        return RetryAfterPolicy.INSTANCE.spread(endsAt - EntryServices.now(), roomAfter, draw);
    }

    private long latestRetryAfter() {
        return RetryAfterPolicy.INSTANCE.latest(endsAt - EntryServices.now());
    }

    /** {@inheritDoc} */
    @Override
    public void onGranted(UpstreamSlot granted) {
        slot = null;
        if (!services.isCurrent() || !stillAllowed()) {
            // Guards against a pause of the whole process between the check on arrival and this moment.
            granted.end(SlotOutcome.UNUSED);
            refuse(EndReason.UNCONFIRMED, latestRetryAfter(), false);
            return;
        }
        services.metrics().waited(EntryServices.now() - arrivedAt);
        viewAtGrant = services.view();
        attempt = new UpstreamAttempt(this, services, granted);
        services.runs(this);
        attempt.start();
    }

    /** Returns whether what is in force now still lets the request go to the upstream that it was granted. */
    boolean mayStillBeSent(UpstreamLoad upstream) {
        boolean unchanged = services.view().saysTheSame(viewAtGrant);
        return services.isCurrent()
                && (unchanged || stillAllowed() && services.slots().mayUse(upstream));
    }

    /** Learns that the request was not sent, because what is in force has changed since its slot was granted. */
    void onOutdated() {
        if (services.isCurrent() && stillAllowed()) {
            onNotRun("outdated", false);
        } else {
            refuse(EndReason.UNCONFIRMED, latestRetryAfter(), false);
        }
    }

    /** Returns whether the catalogue in force now still lets this caller's request go to its pool. */
    private boolean stillAllowed() {
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
    void look(long now) {
        if (!done && attempt != null && mayRunAgain() && attempt.isSilent(now)) {
            attempt.giveUp();
            onBroken("silence");
        }
    }

    private boolean mayRunAgain() {
        return route.mayRepeat()
                && runs < route.maximumUpstreams()
                && (route.kind() == RequestKind.STREAM || !answer.isHeadWritten())
                && endsAt - EntryServices.now() > LEAST_RETRY_MILLIS;
    }

    /** Learns that the request is on its way, so that from now on it may run. */
    void onSent() {
        runs++;
    }

    /** Learns that the upstream has provably not run the request. */
    void onNotRun(String reason, boolean arrived) {
        runs -= arrived ? 1 : 0;
        boolean allowed = runs == 0 ? endsAt - EntryServices.now() > LEAST_RETRY_MILLIS : mayRunAgain();
        if (allowed
                && offers < MOST_OFFERS
                && (!arrived || services.budget(poolName).take())) {
            again(reason);
        } else {
            refuse(EndReason.NOT_TAKEN, latestRetryAfter(), false);
        }
    }

    /** Learns that the upstream has failed in a way that leaves open whether the request has run. */
    void onBroken(String reason) {
        if (mayRunAgain() && services.budget(poolName).take()) {
            splitter.restart();
            again(reason);
        } else {
            fail(EndReason.UPSTREAM_FAILED, reason);
        }
    }

    /** Returns whether a failure that the upstream answers with should be tried elsewhere instead. */
    boolean triesElsewhere() {
        return !answer.isHeadWritten()
                && mayRunAgain()
                && services.budget(poolName).take();
    }

    /** Sends the request to another upstream. */
    void again(String reason) {
        log.retried(reason, upstreamName(), offers);
        long left = endsAt - EntryServices.now();
        ask(EntryServices.now() + (long) (left * LATE_WAIT), false);
    }

    private void onTimeout() {
        if (done) {
            return;
        }
        if (attempt != null || runs > 0) {
            fail(EndReason.TIMEOUT, "timeout");
        } else {
            refuse(EndReason.EXPIRED, 0, false);
        }
    }

    void onCallerGone() {
        if (done) {
            return;
        }
        log.left(upstreamName());
        release();
    }

    void onCallerWritable() {
        if (attempt != null && answer.isWritable()) {
            attempt.read();
        }
    }

    /** Returns what is written to the caller. */
    CallerAnswer answer() {
        return answer;
    }

    /** Writes a whole answer of the upstream, and ends the request. */
    void writeWhole(HttpResponse upstreamHead, ByteBuf content) {
        answer.writeWhole(upstreamHead, content);
        release();
        answer.ended();
    }

    /** Ends an answer that was passed on part by part, and the request with it. */
    void writeEnd() {
        answer.writeEnd();
        release();
        answer.ended();
    }

    void noteFirst(long millis) {
        if (!firstSeen) {
            firstSeen = true;
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
        if (runs > 0) {
            // A refusal says that nothing has run, which would not be true here.
            fail(EndReason.UPSTREAM_FAILED, reason.code());
            return;
        }
        log.refused(reason, retryAfterMillis, 0, 0);
        release();
        answer.writeOwn(reason, retryAfterMillis, close);
    }

    private void fail(EndReason reason, String cause) {
        log.failed(reason, upstreamName(), cause);
        release();
        if (answer.isHeadWritten()) {
            // The answer has begun: an end that does not look complete is all that can still be said.
            answer.breakOff();
            return;
        }
        answer.writeOwn(reason, 0, false);
    }

    /** Gives everything back that the request holds. */
    private void release() {
        if (done) {
            return;
        }
        done = true;
        services.awaitsNoMore(this);
        if (timer != null) {
            timer.cancel(false);
        }
        if (slot != null) {
            slot.withdraw();
        }
        if (attempt != null) {
            attempt.giveUp();
        }
        services.runsNoMore(this);
        body.release();
        if (counted) {
            services.ended();
        }
    }

    HttpRequest request() {
        return request;
    }

    ByteBuf bodyCopy() {
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

    long millisLeft() {
        return Math.max(1, endsAt - EntryServices.now());
    }

    long arrivedAt() {
        return arrivedAt;
    }

    int organisationRank() {
        return organisationRank;
    }

    /** Returns whether the caller retries after a refusal. */
    boolean isReturning() {
        return late;
    }
}
