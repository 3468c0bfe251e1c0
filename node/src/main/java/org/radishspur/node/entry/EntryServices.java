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
    private static final double CONFIRMED_SHARE = 0.8;

    /** An entry that was not confirmed for this share of that time asks the balancer for no more callers. */
    private static final double READY_SHARE = 0.5;

    /** How often waiting requests and silent answers are looked after, in milliseconds. */
    private static final long LOOK_MILLIS = 50;

    private final FleetSettings settings;
    private final CallerDialect dialect;
    private final EventLog events;
    private final EntryMetrics metrics;
    private final Transport transport;
    private final SlotClient slots;
    private final RetryBudgets budgets;
    private final VersionCounters tallies;
    private final Map<CallerExchange, Runnable> awaiting = new LinkedHashMap<>();
    private final Set<CallerExchange> running = new HashSet<>();
    private final Map<String, Long> longestDeadlines = new HashMap<>();
    private volatile ConfirmedView view = ConfirmedView.NOTHING;
    private volatile boolean someAwait;
    private volatile boolean stopping;
    private volatile int inProgress;
    private boolean watching;

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
        this.tallies = tallies;
        slots = new SlotClient(settings, transport.schedulers(), events);
        budgets = new RetryBudgets(
                settings.bounds().retryShare(), settings.bounds().retrySlack());
    }

    /**
     * Takes over a view that does no more than confirm the present one, on any thread, and returns whether that was all. It saves
     * the traffic thread of an idle entry a wake-up for each confirmation.
     */
    boolean confirm(ConfirmedView newer) {
        if (someAwait || !view.saysTheSame(newer)) {
            return false;
        }
        view = newer;
        return true;
    }

    void onView(ConfirmedView newer) {
        boolean same = view.saysTheSame(newer);
        view = newer;
        if (!same) {
            budgets.entries(newer.entries());
            slots.onView(newer, now());
        }
        goOn();
    }

    void onReply(String scheduler, FleetMessage.Reply reply) {
        slots.onReply(scheduler, reply, now());
    }

    void onLinkLost(String address) {
        slots.onLinkLost(address, now());
    }

    /** Begins to look after requests that wait and answers that have stopped coming, as long as there are any. */
    void watch() {
        if (!watching) {
            watching = true;
            loop().schedule(this::look, LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void look() {
        watching = false;
        long now = now();
        slots.look(now);
        for (CallerExchange exchange : Set.copyOf(running)) {
            exchange.look(now);
        }
        if (slots.isBusy() || !running.isEmpty()) {
            watch();
        }
    }

    /** Returns whether the catalogue was confirmed so lately that it may be acted on. */
    boolean isCurrent() {
        return isConfirmedWithin(CONFIRMED_SHARE);
    }

    boolean isReady() {
        return !stopping && isConfirmedWithin(READY_SHARE);
    }

    private boolean isConfirmedWithin(double share) {
        return view.isConfirmedWithin(settings.bounds().revokeMillis() * share);
    }

    /** Returns whether a request has a deadline that shows that its caller has spent part of its time already. */
    boolean isReturning(String route, long deadlineMillis) {
        long longest = longestDeadlines.merge(route, deadlineMillis, Math::max);
        return RetryAfterPolicy.INSTANCE.isReturning(deadlineMillis, longest);
    }

    void awaits(CallerExchange exchange, Runnable action) {
        awaiting.put(exchange, action);
        someAwait = true;
    }

    void awaitsNoMore(CallerExchange exchange) {
        awaiting.remove(exchange);
        someAwait = !awaiting.isEmpty();
    }

    /** Lets the requests go on that have waited for a confirmed catalogue. */
    private void goOn() {
        if (!awaiting.isEmpty() && isCurrent()) {
            List<Runnable> actions = List.copyOf(awaiting.values());
            awaiting.clear();
            someAwait = false;
            actions.forEach(Runnable::run);
        }
    }

    void runs(CallerExchange exchange) {
        running.add(exchange);
        watch();
    }

    void runsNoMore(CallerExchange exchange) {
        running.remove(exchange);
    }

    /** Counts an answer of an upstream for the rollout of its version. */
    void onAnswer(Upstream upstream, String route, boolean good, double millis) {
        tallies.add(upstream.pool(), upstream.version(), route, good, millis, 0);
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

    RetryBudget budget(String pool) {
        return budgets.of(pool);
    }

    boolean isStopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
    }

    void began() {
        inProgress++;
    }

    void ended() {
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
