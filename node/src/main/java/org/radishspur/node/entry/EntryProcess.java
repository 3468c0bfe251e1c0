package org.radishspur.node.entry;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.dialect.CallerDialect;
import org.radishspur.node.dialect.OperatorDialect;
import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetMessage.UpstreamReach;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.metrics.MetricsServer;
import org.radishspur.node.relay.RelayDialer;
import org.radishspur.node.relay.RelayServer;
import org.radishspur.node.schedule.ViewPoller;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.settings.PlatformProcessSettings;
import org.radishspur.node.supervise.Supervisor;
import org.radishspur.node.upstream.RelayedProbe;
import org.radishspur.node.upstream.UpstreamConnections;
import org.radishspur.node.upstream.UpstreamProbe;

/**
 * Runs an entry process: the traffic thread, the control thread, and the servers for callers, health checks and
 * metrics, which a supervisor restarts when they fail.
 */
public final class EntryProcess implements FleetInbox, AutoCloseable {
    /** How often a planned stop checks whether all requests have ended, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 50;

    /**
     * How long the load balancer may still route callers here after the ready check fails, in milliseconds: it checks
     * once a second and acts on the second failure.
     */
    private static final long BALANCER_UPDATE_MILLIS = 2_300;

    /**
     * How long before the end of the grace period a planned stop ends even with requests in progress, in milliseconds.
     */
    private static final long GRACE_MARGIN_MILLIS = 400;

    /** How long connecting to an upstream may take, in milliseconds; the network itself takes a few. */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    /** How long an idle connection to an upstream is kept open, in milliseconds. */
    private static final long MAX_IDLE_MILLIS = 8_000;

    private final PlatformProcessSettings settings;
    private final EventLog events;
    private final ControlLoop control = new ControlLoop();
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop traffic = eventLoops.next();
    private final FleetLinks links;
    private final EntryServices services;
    private final ViewPoller viewPoller;
    private final FrontServer frontServer;
    private final RelayServer relayServer;
    private final Supervisor.Scheduler.ThreadScheduler restartScheduler = new Supervisor.Scheduler.ThreadScheduler();
    private final Supervisor supervisor;
    private final CountDownLatch failed = new CountDownLatch(1);

    /**
     * Starts an entry.
     *
     * @param settings the settings of the process, with the addresses for callers and for the ready check.
     * @param callerDialect parses the requests of callers and the responses of upstreams.
     * @param operatorDialect parses catalogues.
     * @param events the log of structured events.
     */
    public EntryProcess(
            PlatformProcessSettings settings,
            CallerDialect callerDialect,
            OperatorDialect operatorDialect,
            EventLog events) {
        this.settings = settings;
        this.events = events;
        control.setFailureListener(cause -> failed.countDown());
        events.emit(EventCode.STARTED, "entry", settings.failureDomain(), settings.founding());
        EntryMetrics metrics = new EntryMetrics();
        VersionCounters versionCounters = new VersionCounters();
        links = new FleetLinks(traffic, this);
        LinkMonitor linkMonitor = new LinkMonitor(events, this::reportReach, EntryServices::now);
        HeldBytes heldBytes =
                HeldBytes.of(settings.memory(), Runtime.getRuntime().maxMemory());
        UpstreamConnections exchanges =
                new UpstreamConnections(traffic, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS, linkMonitor.paths());
        if (heldBytes.isLimited()) {
            exchanges.setMaxReadBytes(HeldBytes.READ_BYTES);
        }
        UpstreamProbe probe = new RelayedProbe(
                new UpstreamProbe.Default(traffic),
                new RelayDialer(traffic, CONNECT_TIMEOUT_MILLIS),
                linkMonitor.paths());
        services = new EntryServices(
                settings,
                callerDialect,
                events,
                metrics,
                new EntryServices.Transport(traffic, exchanges, probe, linkMonitor, links),
                versionCounters,
                heldBytes);
        metrics.registry().register("requests.in_progress", (Gauge<Integer>) services::inProgress);
        metrics.registry().register("catalogue.revision", (Gauge<Long>)
                () -> services.view().revision());
        viewPoller = new ViewPoller(
                control, links, operatorDialect, events, settings.peerAddress().toString(), versionCounters, view -> {
                    if (!services.applyConfirmation(view)) {
                        traffic.execute(() -> services.onView(view));
                    }
                });
        frontServer = new FrontServer(settings.callerAddress().orElseThrow(), traffic, services);
        relayServer = new RelayServer(
                settings.peerAddress(),
                traffic,
                CONNECT_TIMEOUT_MILLIS,
                upstream -> !services.isStopping() && linkMonitor.relaysTo(upstream),
                linkMonitor.paths()::recordConnectFailure,
                EntryServices::now);
        metrics.registry().register("upstreams.cut_off", (Gauge<Integer>) () -> linkMonitor.isCutOff() ? 1 : 0);
        metrics.registry().register("relays.connections", (Gauge<Integer>) relayServer::connections);
        supervisor = new Supervisor("entry", restartScheduler, control::nowMillis)
                .supervise(
                        "ready-server",
                        () -> new ReadyServer(settings.readyAddress().orElseThrow(), traffic, services))
                .supervise("front-server", () -> frontServer)
                .supervise("relay-server", () -> relayServer);
        settings.metricsAddress()
                .ifPresent(address -> supervisor.supervise(
                        "metrics-server", () -> new MetricsServer(address, eventLoops, metrics.registry())));
        supervisor.start(cause -> failed.countDown());
        control.execute(() -> viewPoller.setSeeds(addresses(settings.seeds())));
        reportReach(UpstreamReach.REACHED);
        // Loads the JSON parser now, while the entry waits for the control leader, and not at the first catalogue.
        control.execute(() -> Json.INSTANCE.readTree("{}", ErrorCode.TABLE_INVALID));
    }

    /** {@inheritDoc} */
    @Override
    public void onMessage(Sender sender, FleetMessage message) {
        if (message instanceof FleetMessage.Reply reply) {
            services.onReply(sender.peer(), reply);
        } else if (message instanceof FleetMessage.Document document) {
            control.execute(() -> viewPoller.onDocument(document));
        } else if (message instanceof FleetMessage.ViewResponse response) {
            control.execute(() -> viewPoller.onViewResponse(response));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onClosed(Sender sender) {
        services.onLinkLost(sender.peer());
    }

    /**
     * Applies settings that have changed while the process runs.
     *
     * @param changed the new settings, of which only the seeds and the regions are used.
     */
    public void reload(PlatformProcessSettings changed) {
        events.emit(EventCode.RELOADED, changed.seeds());
        control.execute(() -> viewPoller.setSeeds(addresses(changed.seeds())));
        traffic.execute(() -> services.setRegions(changed.regions()));
    }

    /**
     * Waits until the control thread has failed or the supervisor has stopped restarting a failed server.
     *
     * @throws InterruptedException if the waiting thread is interrupted.
     */
    public void awaitFailure() throws InterruptedException {
        failed.await();
    }

    /**
     * Performs a planned stop. The ready check fails first, while requests are still served until the load balancer
     * routes callers elsewhere; then no connection is accepted, and requests in progress may end within the grace
     * period.
     */
    public void shutDown() {
        events.emit(EventCode.STOPPING, services.inProgress());
        services.stop();
        reportReach(UpstreamReach.NO_RELAY);
        long startedAtNanos = System.nanoTime();
        long maxMillis = settings.bounds().plannedStopMillis() - GRACE_MARGIN_MILLIS;
        long elapsedMillis = 0;
        while (elapsedMillis < maxMillis && (elapsedMillis < BALANCER_UPDATE_MILLIS || isBusy())) {
            pause();
            elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
            if (elapsedMillis >= BALANCER_UPDATE_MILLIS) {
                // A later request might not end within the grace period; its caller connects to another entry.
                traffic.execute(frontServer::stopAccepting);
            }
        }
        events.emit(EventCode.STOPPED, services.inProgress());
        events.close();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        supervisor.close();
        restartScheduler.close();
        links.close();
        control.close();
        eventLoops.shutdownGracefully();
    }

    /** Returns whether requests are in progress here, or at another entry through connections of this one. */
    private boolean isBusy() {
        return services.inProgress() > 0 || relayServer.isBusy();
    }

    private void reportReach(UpstreamReach reach) {
        control.execute(() -> viewPoller.setReach(reach));
    }

    private static void pause() {
        try {
            Thread.sleep(DRAIN_POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static Set<String> addresses(List<HostPort> hosts) {
        Set<String> addresses = new TreeSet<>();
        hosts.forEach(host -> addresses.add(host.toString()));
        return addresses;
    }
}
