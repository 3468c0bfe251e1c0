package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.radishspur.decision.dispatch.RetryAfterPolicy;
import org.radishspur.model.catalogue.CallerLimits;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.caller.RetryBudget;
import org.radishspur.node.dialect.CallerDialect;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.settings.FleetSettings;
import org.radishspur.node.upstream.UpstreamExchange;

/**
 * Holds what the exchanges of one entry share. The traffic thread owns it.
 */
final class EntryServices {
    /**
     * How much of the time until a revoked key must not work is used up before an unconfirmed entry serves no one, so that
     * the rest covers a request on its way to the upstream.
     */
    private static final double SERVING_CONFIRMATION_SHARE = 0.8;

    /** An entry that was not confirmed for this share of that time asks the balancer for no more callers. */
    private static final double READY_CONFIRMATION_SHARE = 0.5;

    /** How often waiting requests and silent answers are looked after, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final FleetSettings settings;
    private final CallerDialect dialect;
    private final EventLog events;
    private final EntryMetrics metrics;
    private final Transport transport;
    private final SlotClient slots;
    private final RetryBudgets retryBudgets;
    private final VersionCounters versionCounters;
    private final Map<CallerExchange, Runnable> awaitingConfirmation = new LinkedHashMap<>();
    private final Set<CallerExchange> running = new HashSet<>();
    private final Map<String, Long> longestDeadlineMillis = new HashMap<>();
    private volatile ConfirmedView view = ConfirmedView.NOTHING;
    private volatile boolean confirmationAwaited;
    private volatile boolean stopping;
    private volatile int inProgress;
    private boolean checkScheduled;

    EntryServices(
            FleetSettings settings,
            CallerDialect dialect,
            EventLog events,
            EntryMetrics metrics,
            Transport transport,
            VersionCounters tallies) {
        this.settings = settings;
        this.dialect = dialect;
        this.events = events;
        this.metrics = metrics;
        this.transport = transport;
        this.versionCounters = tallies;
        slots = new SlotClient(settings, transport.schedulers(), events);
        retryBudgets = new RetryBudgets(
                settings.bounds().retryShare(), settings.bounds().retrySlack());
    }

    /**
     * Takes over a view that does no more than confirm the present one, on any thread, and returns whether that was all. It saves
     * the traffic thread of an idle entry a wake-up for each confirmation.
     */
    boolean applyConfirmation(ConfirmedView newer) {
        if (confirmationAwaited || !view.saysTheSame(newer)) {
            return false;
        }
        view = newer;
        return true;
    }

    void onView(ConfirmedView newer) {
        boolean same = view.saysTheSame(newer);
        view = newer;
        if (!same) {
            retryBudgets.entries(newer.entries());
            slots.onView(newer, now());
        }
        resumeAwaiting();
    }

    void onReply(String scheduler, FleetMessage.Reply reply) {
        slots.onReply(scheduler, reply, now());
    }

    void onLinkLost(String address) {
        slots.onLinkLost(address, now());
    }

    /** Begins to look after requests that wait and answers that have stopped coming, as long as there are any. */
    void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            loop().schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        checkScheduled = false;
        long now = now();
        slots.checkPending(now);
        for (CallerExchange exchange : Set.copyOf(running)) {
            exchange.checkSilence(now);
        }
        if (slots.hasPending() || !running.isEmpty()) {
            scheduleCheck();
        }
    }

    /** Returns whether the catalogue was confirmed so lately that it may be acted on. */
    boolean isConfirmed() {
        return isConfirmedWithin(SERVING_CONFIRMATION_SHARE);
    }

    boolean isReady() {
        return !stopping && isConfirmedWithin(READY_CONFIRMATION_SHARE);
    }

    private boolean isConfirmedWithin(double share) {
        return view.isConfirmedWithin(settings.bounds().revokeMillis() * share);
    }

    /** Returns whether a request has a deadline that shows that its caller has spent part of its time already. */
    boolean isCallerRetry(String route, long deadlineMillis) {
        long longest = longestDeadlineMillis.merge(route, deadlineMillis, Math::max);
        return RetryAfterPolicy.INSTANCE.isReturning(deadlineMillis, longest);
    }

    void awaitConfirmation(CallerExchange exchange, Runnable action) {
        awaitingConfirmation.put(exchange, action);
        confirmationAwaited = true;
    }

    void stopAwaitingConfirmation(CallerExchange exchange) {
        awaitingConfirmation.remove(exchange);
        confirmationAwaited = !awaitingConfirmation.isEmpty();
    }

    /** Lets the requests go on that have waited for a confirmed catalogue. */
    private void resumeAwaiting() {
        if (!awaitingConfirmation.isEmpty() && isConfirmed()) {
            List<Runnable> actions = List.copyOf(awaitingConfirmation.values());
            awaitingConfirmation.clear();
            confirmationAwaited = false;
            actions.forEach(Runnable::run);
        }
    }

    void addRunning(CallerExchange exchange) {
        running.add(exchange);
        scheduleCheck();
    }

    void removeRunning(CallerExchange exchange) {
        running.remove(exchange);
    }

    /** Counts an answer of an upstream for the rollout of its version. */
    void recordResponse(Upstream upstream, String route, boolean good, double millis) {
        versionCounters.add(upstream.pool(), upstream.version(), route, good, millis, 0);
    }

    static long now() {
        return Moment.steadyNow();
    }

    ConfirmedView view() {
        return view;
    }

    String failureDomain() {
        return settings.failureDomain();
    }

    CallerLimits limits() {
        return view.catalogue().map(Catalogue::limits).orElse(CallerLimits.STANDARD);
    }

    CallerDialect dialect() {
        return dialect;
    }

    EventLog events() {
        return events;
    }

    EntryMetrics metrics() {
        return metrics;
    }

    EventLoop loop() {
        return transport.loop();
    }

    UpstreamExchange.Factory exchanges() {
        return transport.exchanges();
    }

    SlotClient slots() {
        return slots;
    }

    RetryBudget retryBudget(String pool) {
        return retryBudgets.forPool(pool);
    }

    boolean isStopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
    }

    void requestStarted() {
        inProgress++;
    }

    void requestEnded() {
        inProgress--;
    }

    int inProgress() {
        return inProgress;
    }

    /**
     * Holds the ways out of an entry, all on its traffic thread.
     *
     * @param loop the traffic thread.
     * @param exchanges begins exchanges with upstreams.
     * @param schedulers reaches the schedulers.
     */
    record Transport(EventLoop loop, UpstreamExchange.Factory exchanges, FleetSender schedulers) {}
}
