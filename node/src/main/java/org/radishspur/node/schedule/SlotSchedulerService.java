package org.radishspur.node.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.crash.CrashNote;
import org.radishspur.decision.dispatch.QuotaCounts;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.decision.slot.SlotScheduler;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.dialect.OperatorDialect;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.PauseDetector;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.settings.PlatformProcessSettings;
import org.radishspur.node.supervise.Child;

/**
 * Runs the scheduler of a control host on the transport thread: grants slots to the entries that are attached, polls
 * the control leader as entries do, and exchanges load reports with the other schedulers.
 */
public final class SlotSchedulerService implements FleetInbox, AutoCloseable {
    /** The interval at which lost entries are detached and the queues are advanced, in milliseconds. */
    private static final long MAINTENANCE_INTERVAL_MILLIS = 50;

    /**
     * The time without a message after which an entry is considered lost, in milliseconds; an entry pings its scheduler
     * more often, even while it is idle. Guards against slots that stay occupied by a frozen host, and against grants
     * that are never used.
     */
    private static final long ENTRY_TIMEOUT_MILLIS = 1_200;

    /**
     * The maximum age at which a view may be acted on, as a share of the time in which a revoked key must stop working.
     */
    private static final double MAX_VIEW_AGE_SHARE = 0.8;

    private final PlatformProcessSettings settings;

    /**
     * The view poller's own thread, as parsing a large catalogue takes longer than an election timeout of the replica.
     */
    private final ControlLoop pollerLoop = new ControlLoop();

    private final LongSupplier clock;
    private final EventLoop traffic;
    private final EventLog events;
    private final MetricRegistry metrics;
    private final FleetLinks links;
    private final ViewPoller viewPoller;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final QuotaLog quotaLog;
    private final EntryUseReports entryUse;
    private final CrashLedger crashes = new CrashLedger();
    private final SlotScheduler slotScheduler;
    private final LoadReportExchange loadReports;
    private final String self;
    private final Map<String, Sender> attachedEntries = new HashMap<>();
    private final Map<String, String> connectionsByEntry = new HashMap<>();
    private final PauseDetector pauses = new PauseDetector(MAINTENANCE_INTERVAL_MILLIS);

    /** The position in {@link #crashes} up to which each attached entry has the notes. */
    private final Map<String, Long> sentCrashes = new HashMap<>();

    private final EvacuationLog evacuationLog;
    private final PoolMetrics poolMetrics;
    private ConfirmedView view = ConfirmedView.EMPTY;

    /**
     * Starts a scheduler.
     *
     * @param settings the settings of the process.
     * @param failure is notified if an action fails, after which the state of the scheduler can't be relied on.
     * @param traffic the transport thread, which owns the scheduler.
     * @param dialect parses catalogues.
     * @param events receives structured events.
     * @param metrics the registry for the scheduler's metrics.
     * @param clock the monotonic clock in milliseconds.
     */
    public SlotSchedulerService(
            PlatformProcessSettings settings,
            Child.FailureListener failure,
            EventLoop traffic,
            OperatorDialect dialect,
            EventLog events,
            MetricRegistry metrics,
            LongSupplier clock) {
        this.clock = clock;
        this.settings = settings;
        pollerLoop.setFailureListener(failure);
        this.traffic = traffic;
        this.events = events;
        this.metrics = metrics;
        self = settings.peerAddress().toString();
        links = new FleetLinks(traffic, this);
        pools = new PoolSet(self, settings.failureDomain(), settings.bounds().maxTrialShare());
        quotas = new QuotaLedger(settings.bounds().quotaTolerance());
        quotas.observeFrom(now());
        quotaLog = new QuotaLog(quotas, events);
        quotas.setListener(quotaLog);
        entryUse = new EntryUseReports(quotas);
        slotScheduler = new SlotScheduler(pools, quotas, new SchedulerListener());
        poolMetrics = new PoolMetrics(metrics);
        evacuationLog = new EvacuationLog(pools, events);
        loadReports = new LoadReportExchange(links, pools, quotas, crashes, self + '/' + System.currentTimeMillis());
        viewPoller = new ViewPoller(
                pollerLoop, links, dialect, events, "", List::of, newer -> traffic.execute(() -> onView(newer)));
        metrics.register("scheduler.entries", (Gauge<Integer>) slotScheduler::entryCount);
        metrics.register("scheduler.waiting", (Gauge<Integer>) slotScheduler::queueLength);
        registerQuotaMetrics();
        setSeeds(settings.seeds());
        traffic.scheduleAtFixedRate(
                () -> loadReports.publishIfDue(now()),
                LoadReportExchange.MIN_ROUND_MILLIS,
                LoadReportExchange.MIN_ROUND_MILLIS,
                TimeUnit.MILLISECONDS);
        pauses.onStarted(now());
        traffic.scheduleAtFixedRate(
                this::maintain, MAINTENANCE_INTERVAL_MILLIS, MAINTENANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void registerQuotaMetrics() {
        QuotaCounts counts = quotas.counts();
        metrics.register("scheduler.quota.refused.within", (Gauge<Long>) counts::refusedWithinLimit);
        metrics.register("scheduler.quota.refused.beyond", (Gauge<Long>) counts::refusedBeyondLimit);
        metrics.register("scheduler.quota.excess", (Gauge<Long>) counts::excessUse);
    }

    /**
     * Returns whether the scheduler, rather than the replica, handles a message that this host has accepted.
     *
     * @param message the message.
     * @return whether it is for the scheduler.
     */
    public static boolean handles(FleetMessage message) {
        return message instanceof FleetMessage.RequestSlot
                || message instanceof FleetMessage.ReportSlot
                || message instanceof FleetMessage.LoadReport
                || message instanceof FleetMessage.Attach
                || message instanceof FleetMessage.Detach;
    }

    /**
     * Sets the control hosts to query while no leader is known.
     *
     * @param hosts some control hosts, some of which may be stale.
     */
    public void setSeeds(List<HostPort> hosts) {
        Set<String> addresses = new TreeSet<>();
        hosts.forEach(host -> addresses.add(host.toString()));
        pollerLoop.execute(() -> viewPoller.setSeeds(addresses));
    }

    /** {@inheritDoc} */
    @Override
    public void onMessage(Sender sender, FleetMessage message) {
        if (message instanceof FleetMessage.ViewResponse response) {
            pollerLoop.execute(() -> viewPoller.onViewResponse(response));
        } else if (message instanceof FleetMessage.Document document) {
            pollerLoop.execute(() -> viewPoller.onDocument(document));
        } else if (message instanceof FleetMessage.RequestSlot request) {
            onSlotRequest(sender, request);
        } else if (message instanceof FleetMessage.ReportSlot report) {
            crashes.merge(report.crashes(), now());
            slotScheduler.report(sender.peer(), report.id(), report.report(), now());
            entryUse.onReport(report, now());
        } else if (message instanceof FleetMessage.LoadReport loadReport) {
            if (loadReports.onReport(loadReport, view.organisations(), now())) {
                slotScheduler.advance(now());
            }
        } else if (message instanceof FleetMessage.Attach attach) {
            onAttach(sender, attach);
        } else if (message instanceof FleetMessage.Detach) {
            detach(sender.peer());
        }
    }

    private void onSlotRequest(Sender sender, FleetMessage.RequestSlot request) {
        double maxAgeMillis = settings.bounds().revocationLimitMillis() * MAX_VIEW_AGE_SHARE;
        if (!attachedEntries.containsKey(sender.peer()) || !view.isConfirmedWithin(maxAgeMillis)) {
            reply(sender, request.id(), new SlotReply.Rejected(SlotReply.Reason.UNREADY, 0));
            return;
        }
        slotScheduler.request(sender.peer(), request.id(), request.request(), now());
    }

    private void onAttach(Sender sender, FleetMessage.Attach attach) {
        String previous = connectionsByEntry.put(attach.entry(), sender.peer());
        if (previous != null && !previous.equals(sender.peer())) {
            detach(previous);
        }
        crashes.merge(attach.crashes(), now());
        attachedEntries.put(sender.peer(), sender);
        slotScheduler.attach(sender.peer(), attach.held(), now());
    }

    /** {@inheritDoc} */
    @Override
    public void onClosed(Sender sender) {
        detach(sender.peer());
    }

    private void detach(String peer) {
        sentCrashes.remove(peer);
        if (attachedEntries.remove(peer) != null) {
            slotScheduler.detach(peer, now());
        }
    }

    private void onView(ConfirmedView newer) {
        boolean unchanged = view.hasSameContent(newer);
        view = newer;
        if (!unchanged) {
            List<String> others = newer.controlHosts().stream()
                    .map(ControlHost::address)
                    .filter(address -> !address.equals(self))
                    .toList();
            pools.apply(newer, others.size() + 1, now());
            pools.forEachPool(poolMetrics::add);
            loadReports.refresh(others);
            entryUse.setOrganisations(newer.organisations());
            evacuationLog.onView(newer.evacuated());
            slotScheduler.advance(now());
        }
    }

    private void maintain() {
        if (!pauses.onFired(now())) {
            List.copyOf(attachedEntries.values()).stream()
                    .filter(entry -> entry.silentMillis() > ENTRY_TIMEOUT_MILLIS)
                    .forEach(entry -> detach(entry.peer()));
        }
        slotScheduler.advance(now());
        evacuationLog.logDrained();
        quotaLog.logIfDue(now());
    }

    private long now() {
        return clock.getAsLong();
    }

    private void reply(Sender sender, long id, SlotReply reply) {
        metrics.counter("scheduler.replies." + metricNameOf(reply)).inc();
        sender.send(new FleetMessage.Reply(id, reply, takeNewCrashes(sender.peer())));
    }

    /** Returns the notes on crashes that an attached entry doesn't have yet. */
    private List<CrashNote> takeNewCrashes(String peer) {
        if (!attachedEntries.containsKey(peer)) {
            return List.of();
        }
        Long position = sentCrashes.get(peer);
        CrashLedger.Changes changes = position == null
                ? new CrashLedger.Changes(crashes.strongestNotes(now()), crashes.latestPosition())
                : crashes.changesSince(position, now());
        sentCrashes.put(peer, changes.position());
        return changes.notes();
    }

    private static String metricNameOf(SlotReply reply) {
        return reply instanceof SlotReply.Rejected rejected
                ? "rejected." + rejected.reason()
                : reply.getClass().getSimpleName();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        pollerLoop.close();
        links.close();
    }

    /** Sends replies to the entries, and passes on responses and ejections of upstreams. */
    private final class SchedulerListener extends UpstreamEventLogger {
        SchedulerListener() {
            super(events);
        }

        /** {@inheritDoc} */
        @Override
        public void onReply(String entry, long id, SlotReply reply) {
            Sender sender = attachedEntries.get(entry);
            if (sender != null) {
                reply(sender, id, reply);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(UpstreamLoad upstream, boolean succeeded) {
            loadReports.recordOutcome(upstream, succeeded);
        }
    }
}
