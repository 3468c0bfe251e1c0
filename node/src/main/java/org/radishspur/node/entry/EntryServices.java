package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.ReturnTimes;
import org.radishspur.decision.dispatch.Ticket;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.CallerLimits;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.node.dialect.CallerDialect;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
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

    private final FleetSettings settings;
    private final CallerDialect dialect;
    private final EventLog events;
    private final EntryMetrics metrics;
    private final Transport transport;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final VersionTallies tallies;
    private final LoadSharing sharing;
    private final Map<Ticket, CallerExchange> waiting = new HashMap<>();
    private final Map<CallerExchange, Runnable> awaiting = new LinkedHashMap<>();
    private final Set<CallerExchange> running = new HashSet<>();
    private final Map<String, Long> longestDeadlines = new HashMap<>();
    private volatile EntryView view = EntryView.NOTHING;
    private volatile boolean stopping;
    private volatile int inProgress;

    EntryServices(
            FleetSettings settings,
            CallerDialect dialect,
            EventLog events,
            EntryMetrics metrics,
            Transport transport,
            VersionTallies tallies) {
        this.settings = settings;
        this.dialect = dialect;
        this.events = events;
        this.metrics = metrics;
        this.transport = transport;
        this.tallies = tallies;
        FleetSettings.Bounds bounds = settings.bounds();
        String self = settings.peerAddress().toString();
        pools = new PoolSet(
                self,
                settings.failureDomain(),
                bounds.greatestTrialShare(),
                bounds.retryShare(),
                bounds.retrySlack(),
                this::onDecision);
        quotas = new QuotaLedger(bounds.quota());
        sharing = new LoadSharing(
                transport.others(), pools, quotas, self + '/' + System.currentTimeMillis(), settings.failureDomain());
    }

    void onView(EntryView newer) {
        boolean same = view.hosts() == newer.hosts()
                && view.catalogue().equals(newer.catalogue())
                && view.rollouts().equals(newer.rollouts())
                && view.entries().equals(newer.entries());
        view = newer;
        if (!same) {
            String self = settings.peerAddress().toString();
            pools.apply(newer);
            sharing.refresh(newer.entries().stream()
                    .filter(entry -> !entry.equals(self))
                    .toList());
            pools.advance(now());
        }
        goOn();
    }

    void onLoad(FleetMessage.Load load) {
        sharing.onLoad(load, view.catalogue().map(Catalogue::organisations).orElse(Map.of()), now());
    }

    void share() {
        sharing.share(now());
    }

    /** Looks after requests that wait, and after answers that have stopped coming. */
    void look() {
        long now = now();
        pools.advance(now);
        for (CallerExchange exchange : Set.copyOf(running)) {
            exchange.look(now);
        }
    }

    /** Tells whether the catalogue was confirmed so lately that it may be acted on. */
    boolean isCurrent() {
        return isConfirmedWithin(CONFIRMED_SHARE);
    }

    boolean isReady() {
        return !stopping && isConfirmedWithin(READY_SHARE);
    }

    private boolean isConfirmedWithin(double share) {
        long age = Moment.now().since(view.confirmedAt());
        return view.catalogue().isPresent()
                && view.hosts().reading() > 0
                && age < settings.bounds().revokeMillis() * share;
    }

    /** Tells whether a request has a deadline that shows that its caller has spent part of its time already. */
    boolean isReturning(String route, long deadlineMillis) {
        long longest = longestDeadlines.merge(route, deadlineMillis, Math::max);
        return ReturnTimes.INSTANCE.isBack(deadlineMillis, longest);
    }

    void awaits(CallerExchange exchange, Runnable action) {
        awaiting.put(exchange, action);
    }

    void awaitsNoMore(CallerExchange exchange) {
        awaiting.remove(exchange);
    }

    /** Lets the requests go on that have waited for a confirmed catalogue. */
    private void goOn() {
        if (!awaiting.isEmpty() && isCurrent()) {
            List<Runnable> actions = List.copyOf(awaiting.values());
            awaiting.clear();
            actions.forEach(Runnable::run);
        }
    }

    void waits(Ticket ticket, CallerExchange exchange) {
        waiting.put(ticket, exchange);
    }

    void waitsNoMore(Ticket ticket) {
        waiting.remove(ticket);
    }

    void runs(CallerExchange exchange) {
        running.add(exchange);
    }

    void runsNoMore(CallerExchange exchange) {
        running.remove(exchange);
    }

    private void onDecision(PoolDispatcher.Decision decision) {
        CallerExchange exchange = waiting.remove(decision.ticket());
        if (exchange != null) {
            exchange.onDecision(decision);
        }
    }

    void judged(PoolDispatcher pool, UpstreamLoad upstream, String route, boolean good, double first, double pace) {
        long now = now();
        boolean before = upstream.isOnProbation();
        upstream.judged(good, pool.board().usualFailures(), now);
        if (!before && upstream.isOnProbation()) {
            events.emit(EventCode.EJECTED, upstream.upstream().id(), "failures");
        }
        sharing.judged(upstream, good);
        tallies.add(upstream.upstream().pool(), upstream.upstream().version(), route, good, first, pace);
    }

    long now() {
        return Moment.now().steadyMillis();
    }

    EntryView view() {
        return view;
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

    PoolSet pools() {
        return pools;
    }

    QuotaLedger quotas() {
        return quotas;
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
     * @param others reaches the other entries.
     */
    record Transport(EventLoop loop, UpstreamExchange.Factory exchanges, FleetSender others) {}
}
