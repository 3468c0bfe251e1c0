package org.radishspur.node.entry;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import io.netty.channel.EventLoop;
import org.radishspur.decision.crash.CrashGuard;
import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.crash.CrashNote;
import org.radishspur.decision.region.RegionMap;
import org.radishspur.model.catalogue.CallerLimits;
import org.radishspur.model.catalogue.Catalogue;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.caller.RetryBudget;
import org.radishspur.node.dialect.CallerDialect;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.fleet.PauseDetector;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.schedule.ConfirmedView;
import org.radishspur.node.settings.PlatformProcessSettings;
import org.radishspur.node.upstream.UpstreamExchange;
import org.radishspur.node.upstream.UpstreamProbe;

/**
 * Holds the state and the services that all requests of one entry share: the confirmed view, the slot client, the retry
 * budgets and the periodic check of requests in progress. The traffic thread owns it; other threads may call
 * {@link #applyConfirmation} and the getters of volatile fields.
 */
final class EntryServices {
    /**
     * The share of the time limit for key revocation within which the view must have been confirmed for a request to be
     * served. The rest of the limit covers the time until a request reaches its upstream.
     */
    private static final double SERVING_CONFIRMATION_SHARE = 0.8;

    /** The share of the same limit within which the view must have been confirmed for the ready check to succeed. */
    private static final double READY_CONFIRMATION_SHARE = 0.5;

    /** How often queued requests and stalled responses are checked, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final PlatformProcessSettings settings;
    private final CallerDialect dialect;
    private final EventLog events;
    private final EntryMetrics metrics;
    private final Transport transport;
    private final SlotClient slots;
    private final CrashGuard crashGuard;
    private final CrashDetector crashes;
    private final PoolRetryBudgets retryBudgets;
    private final VersionCounters versionCounters;
    private final Map<EntryExchange, Runnable> awaitingConfirmation = new LinkedHashMap<>();
    private final Set<EntryExchange> running = new HashSet<>();
    private final LinkLoad linkLoad;
    private final HeldBytes heldBytes;
    private final BodyAdmission bodyAdmission;
    private final UnansweredBodies unansweredBodies = new UnansweredBodies();
    private final PauseDetector pauses = new PauseDetector(CHECK_INTERVAL_MILLIS);
    private final PacedSends sends = new PacedSends(CHECK_INTERVAL_MILLIS, EntryServices::now);
    private volatile ConfirmedView view = ConfirmedView.EMPTY;
    private volatile boolean confirmationAwaited;
    private volatile boolean stopping;
    private RegionMap regions;
    private volatile int inProgress;
    private boolean checkScheduled;

    EntryServices(
            PlatformProcessSettings settings,
            CallerDialect dialect,
            EventLog events,
            EntryMetrics metrics,
            Transport transport,
            VersionCounters versionCounters,
            HeldBytes heldBytes) {
        this.settings = settings;
        regions = settings.regions();
        this.dialect = dialect;
        this.events = events;
        this.metrics = metrics;
        this.transport = transport;
        this.versionCounters = versionCounters;
        this.heldBytes = heldBytes;
        bodyAdmission = new BodyAdmission(transport.loop(), heldBytes);
        metrics.registry().register("memory.held", (Gauge<Long>) heldBytes::total);
        metrics.registry().register("memory.budget", (Gauge<Long>) heldBytes::budget);
        linkLoad = new LinkLoad(settings.bounds().linkBytesPerSecond(), EntryServices::now);
        CrashLedger crashLedger = new CrashLedger();
        crashGuard =
                new CrashGuard(crashLedger, settings.peerAddress().toString().hashCode());
        slots = new SlotClient(settings, transport.schedulers(), events, metrics, crashLedger, this::onCrashNotes);
        crashes = new CrashDetector(
                transport.probe(),
                crashLedger,
                crashGuard,
                slots::publishCrashes,
                this::withdrawSuspects,
                links()::onUpstreamEnded,
                events);
        metrics.registry().register("crash-suspects", (Gauge<Integer>) crashes::suspectCount);
        retryBudgets = new PoolRetryBudgets(
                settings.bounds().retryShare(), settings.bounds().retrySlack());
    }

    /**
     * Applies a view that only confirms the current one, and returns whether it did; otherwise the traffic thread has
     * to apply the view. Any thread may call this, so that a confirmation doesn't wake the traffic thread of an idle
     * entry.
     */
    boolean applyConfirmation(ConfirmedView newer) {
        if (confirmationAwaited || !view.hasSameContent(newer)) {
            return false;
        }
        view = newer;
        return true;
    }

    /**
     * Applies a view to the retry budgets and to the slot client, and resumes requests that waited for a confirmation.
     */
    void onView(ConfirmedView newer) {
        boolean same = view.hasSameContent(newer);
        view = newer;
        if (!same) {
            retryBudgets.setEntryCount(newer.entryCount());
            crashGuard.setProcesses(newer.entryCount());
            slots.onView(newer, now());
            versionCounters.setRollouts(newer.rollouts());
            links().onView(newer);
        }
        resumeAwaiting();
    }

    void onReply(String scheduler, FleetMessage.Reply reply) {
        slots.onReply(scheduler, reply, now());
    }

    void onLinkLost(String address) {
        slots.onLinkLost(address, now());
    }

    /** Schedules the next check of queued requests and of responses, unless one is scheduled already. */
    void scheduleCheck() {
        if (!checkScheduled) {
            sends.onIdle();
            scheduleNextCheck();
        }
    }

    private void scheduleNextCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            pauses.onStarted(now());
            loop().schedule(() -> check(now()), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Checks queued requests and responses at a time, and schedules the next check while there are any. */
    void check(long now) {
        checkScheduled = false;
        sends.onRead();
        if (pauses.onFired(now)) {
            scheduleNextCheck();
            return;
        }
        links().check(now);
        slots.checkPending(now);
        checkSilence(now);
        if (slots.hasPending() || !running.isEmpty() || links().isCutOff()) {
            scheduleNextCheck();
        }
    }

    /** Returns the sends that wait while this thread is behind. */
    PacedSends sends() {
        return sends;
    }

    /** Checks whether the upstreams of requests in progress are silent, by the time that is given. */
    void checkSilence(long now) {
        Set.copyOf(running).forEach(exchange -> exchange.checkSilence(now));
    }

    private void onCrashNotes(List<CrashNote> notes) {
        crashes.onNotes(notes);
    }

    /** Withdraws the requests in flight that have a new suspect, before they end their upstreams. */
    private void withdrawSuspects() {
        Set.copyOf(running).forEach(EntryExchange::withdrawIfItEndsUpstreams);
    }

    /** Returns whether the view was confirmed recently enough to serve requests by it. */
    boolean isConfirmed() {
        return isConfirmedWithin(SERVING_CONFIRMATION_SHARE);
    }

    /** Returns whether the load balancer may route callers to this entry. */
    boolean isReady() {
        return !stopping && !linkLoad.isFull() && isConfirmedWithin(READY_CONFIRMATION_SHARE);
    }

    LinkLoad linkLoad() {
        return linkLoad;
    }

    HeldBytes heldBytes() {
        return heldBytes;
    }

    BodyAdmission bodyAdmission() {
        return bodyAdmission;
    }

    UnansweredBodies unansweredBodies() {
        return unansweredBodies;
    }

    /** Returns whether a body may be sent to an upstream beside those that wait there; always where readers aren't slow. */
    boolean mayPileUp(Upstream upstream, int bodyBytes) {
        return !heldBytes.isLimited()
                || unansweredBodies.hasRoom(upstream, bodyBytes, limits().maxBodyBytes(), view.entryCount());
    }

    private boolean isConfirmedWithin(double share) {
        return view.isConfirmedWithin(settings.bounds().revocationLimitMillis() * share);
    }

    /** Runs an action once the view is confirmed, unless the request ends sooner. */
    void awaitConfirmation(EntryExchange exchange, Runnable action) {
        awaitingConfirmation.put(exchange, action);
        confirmationAwaited = true;
    }

    void stopAwaitingConfirmation(EntryExchange exchange) {
        awaitingConfirmation.remove(exchange);
        confirmationAwaited = !awaitingConfirmation.isEmpty();
    }

    /** Runs the actions of requests that waited for a confirmed view. */
    private void resumeAwaiting() {
        if (!awaitingConfirmation.isEmpty() && isConfirmed()) {
            List<Runnable> actions = List.copyOf(awaitingConfirmation.values());
            awaitingConfirmation.clear();
            confirmationAwaited = false;
            actions.forEach(Runnable::run);
        }
    }

    /** Includes a request in the periodic check for a stalled response. */
    void addRunning(EntryExchange exchange) {
        running.add(exchange);
        scheduleCheck();
    }

    void removeRunning(EntryExchange exchange) {
        running.remove(exchange);
    }

    VersionCounters versionCounters() {
        return versionCounters;
    }

    /** Returns the monotonic clock in milliseconds. */
    static long now() {
        return Moment.monotonicNow();
    }

    ConfirmedView view() {
        return view;
    }

    /** Returns the regions of the failure domains. */
    RegionMap regions() {
        return regions;
    }

    /** Applies the regions of changed settings. */
    void setRegions(RegionMap changed) {
        regions = changed;
    }

    String failureDomain() {
        return settings.failureDomain();
    }

    CallerLimits limits() {
        return view.catalogue().map(Catalogue::limits).orElse(CallerLimits.DEFAULTS);
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

    LinkMonitor links() {
        return transport.links();
    }

    SlotClient slots() {
        return slots;
    }

    CrashDetector crashes() {
        return crashes;
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

    /** Returns how many requests are in progress, each from the arrival of its head. */
    int inProgress() {
        return inProgress;
    }

    /**
     * Holds the event loop of the traffic thread and the outgoing connections that it serves.
     *
     * @param loop the event loop of the traffic thread.
     * @param exchanges starts exchanges with upstreams.
     * @param probe checks whether upstreams still run.
     * @param links finds out whether this entry is cut off from upstreams.
     * @param schedulers sends messages to the schedulers.
     */
    record Transport(
            EventLoop loop,
            UpstreamExchange.Factory exchanges,
            UpstreamProbe probe,
            LinkMonitor links,
            FleetSender schedulers) {}
}
