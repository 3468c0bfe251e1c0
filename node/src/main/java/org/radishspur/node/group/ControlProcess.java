package org.radishspur.node.group;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.ReplicaRunner;
import org.radishspur.node.dialect.HostListDialect;
import org.radishspur.node.dialect.OperatorDialect;
import org.radishspur.node.fleet.ControlHost;
import org.radishspur.node.fleet.FleetInbox;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetServer;
import org.radishspur.node.fleet.Moment;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.metrics.MetricsServer;
import org.radishspur.node.schedule.SlotSchedulerService;
import org.radishspur.node.settings.HostPort;
import org.radishspur.node.settings.PlatformProcessSettings;
import org.radishspur.node.supervise.Supervisor;
import org.radishspur.replication.control.ControlReplica;
import org.radishspur.replication.disk.DataFolder;
import org.radishspur.replication.disk.Identity;
import org.radishspur.replication.raft.LogLimits;
import org.radishspur.replication.raft.RaftOptions;
import org.radishspur.replication.raft.Role;
import org.radishspur.replication.state.StateOptions;

/**
 * Runs the control program of the platform: a replica of the control state and a scheduler. One thread owns the control
 * state, one serves the connections and owns the scheduler, and one writes to the disk.
 */
public final class ControlProcess implements FleetInbox, AutoCloseable {
    private static final String CLUSTER_NAME = "fleet";

    /** The interval between the leader's heartbeats, in milliseconds; a read waits for up to one heartbeat round. */
    private static final long HEARTBEAT_MILLIS = 60;

    /** The minimum election timeout of a follower, in milliseconds; up to six heartbeats may be late or lost. */
    private static final long ELECTION_TIMEOUT_MILLIS = 400;

    /** No leases: a majority confirms every read, because on a suspended host an expired lease can still seem valid. */
    private static final long LEASE_MILLIS = 0;

    /** The maximum number of log entries in a message. */
    private static final int ENTRIES_PER_MESSAGE = 4;

    private static final int SNAPSHOT_CHUNK_BYTES = 1 << 20;

    /** The number of log entries kept in memory for slow followers; a snapshot is no larger than a few entries. */
    private static final int TRAILING_ENTRIES = 8;

    /**
     * The number of log entries after which a snapshot is made. An entry may hold a catalogue of several megabytes.
     * Reading this many at a start takes a tenth of a second, and they need far less than the smallest disks, which
     * have 128 MB.
     */
    private static final int ENTRIES_PER_SNAPSHOT = 40;

    /**
     * The limits on the size of log entries, so that a control host with 64 MB of heap can hold the log beside the
     * catalogue, which may have a twelfth of that and is kept several times.
     */
    private static final LogLimits LOG_LIMITS = new LogLimits(1 << 20, 4 << 20, 2 << 20, 4 << 20, 14 << 20);

    private static final int MAX_PENDING_PROPOSALS = 1_000;

    /**
     * The free disk space below which nothing is proposed, in bytes; enough for one snapshot of the state beside the
     * log.
     */
    private static final long MIN_FREE_BYTES = 4L << 20;

    /** How long a planned stop waits for a follower to become leader, in milliseconds; an election takes about ten. */
    private static final long LEADERSHIP_TRANSFER_MILLIS = 150;

    private static final int IDENTITY_SUFFIX_BOUND = 1 << 30;

    private final PlatformProcessSettings settings;
    private final EventLog events;
    private final ControlLoop loop = new ControlLoop();
    private final EventLoopGroup transportThreads = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ControlMetrics metrics = new ControlMetrics(loop::nowMillis);
    private final FleetLinks links;
    private final ReplicaRunner replica;
    private final MembershipManager membership;
    private final HostListReader hostListReader;
    private final ViewService viewService;
    private final SlotSchedulerService schedulerHost;
    private final Supervisor.Scheduler.ThreadScheduler timers = new Supervisor.Scheduler.ThreadScheduler();
    private final Supervisor supervisor;
    private final CountDownLatch failed = new CountDownLatch(1);

    /**
     * Starts a control host.
     *
     * @param settings the settings of the process.
     * @param operatorDialect parses operators' calls and catalogues.
     * @param hostListDialect parses the platform's host list.
     * @param events receives structured events.
     */
    public ControlProcess(
            PlatformProcessSettings settings,
            OperatorDialect operatorDialect,
            HostListDialect hostListDialect,
            EventLog events) {
        this.settings = settings;
        this.events = events;
        loop.setFailureListener(cause -> failed.countDown());
        events.emit(EventCode.STARTED, "control", settings.failureDomain(), settings.founding());
        DataFolder folder = new DataFolder(settings.dataFolder().orElseThrow());
        ReplicaRunner.Setup setup = new ReplicaRunner.Setup(
                folder,
                identityOf(folder),
                new ControlReplica.Options(
                        new RaftOptions(
                                HEARTBEAT_MILLIS,
                                ELECTION_TIMEOUT_MILLIS,
                                LEASE_MILLIS,
                                ENTRIES_PER_MESSAGE,
                                SNAPSHOT_CHUNK_BYTES,
                                TRAILING_ENTRIES,
                                LOG_LIMITS),
                        StateOptions.DEFAULTS,
                        ENTRIES_PER_SNAPSHOT,
                        MAX_PENDING_PROPOSALS),
                MIN_FREE_BYTES,
                new ReplicaObserver());
        links = new FleetLinks(transportThreads.next(), this);
        replica = new ReplicaRunner(
                setup,
                loop,
                (from, to, message) -> links.send(ReplicaRunner.nodeOf(to), new FleetMessage.Raft(from, to, message)),
                state -> {});
        membership = new MembershipManager(
                loop,
                replica,
                links,
                events,
                new ControlHost(settings.peerAddress().toString(), settings.failureDomain()),
                settings.bounds().voterCount());
        hostListReader = new HostListReader(
                loop, transportThreads.next(), replica, hostListDialect, settings.hostListAddress(), events, metrics);
        RolloutDriver rollouts = new RolloutDriver(loop, replica, events);
        viewService = new ViewService(loop, replica, membership, hostListReader, rollouts, metrics);
        OperatorService operatorService = new OperatorService(
                loop, replica, viewService, operatorDialect, settings.operatorPort(), events, metrics);
        schedulerHost = new SlotSchedulerService(
                settings,
                cause -> failed.countDown(),
                transportThreads.next(),
                operatorDialect,
                events,
                metrics.registry(),
                Moment::monotonicNow);
        supervisor = new Supervisor("control", timers, loop::nowMillis)
                .supervise("fleet-server", () -> new FleetServer(settings.peerAddress(), transportThreads, this))
                .supervise(
                        "operator-server",
                        () -> new OperatorServer(
                                settings.operatorAddress().orElseThrow(), transportThreads, operatorService));
        settings.metricsAddress()
                .ifPresent(address -> supervisor.supervise(
                        "metrics-server", () -> new MetricsServer(address, transportThreads, metrics.registry())));
        replica.start();
        supervisor.start(cause -> failed.countDown());
        loop.execute(() -> membership.setSeeds(addresses(settings.seeds())));
        loop.execute(hostListReader::prefetch);
        loop.repeat(viewService::answerPending, HEARTBEAT_MILLIS / 2);
    }

    /** {@inheritDoc} */
    @Override
    public void onMessage(Sender sender, FleetMessage message) {
        if (SlotSchedulerService.handles(message)) {
            schedulerHost.onMessage(sender, message);
            return;
        }
        loop.execute(() -> {
            if (message instanceof FleetMessage.Raft raft) {
                membership.onRaftMessage(raft.from());
                replica.receive(raft.from(), raft.to(), raft.message());
                viewService.answerPending();
            } else if (message instanceof FleetMessage.ReplicaAnnouncement announcement) {
                membership.onAnnouncement(announcement);
            } else if (message instanceof FleetMessage.ViewRequest request) {
                viewService.onViewRequest(sender, request);
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public void onClosed(Sender sender) {
        loop.execute(() -> viewService.onClosed(sender));
        schedulerHost.onClosed(sender);
    }

    /**
     * Applies settings that have changed while the process runs.
     *
     * @param newSettings the new settings, which may differ from the old ones in the seeds only.
     */
    public void reload(PlatformProcessSettings newSettings) {
        events.emit(EventCode.RELOADED, newSettings.seeds());
        loop.execute(() -> membership.setSeeds(addresses(newSettings.seeds())));
        schedulerHost.setSeeds(newSettings.seeds());
    }

    /**
     * Waits until a component of the process has failed and can't be restarted.
     *
     * @throws InterruptedException if the waiting thread is interrupted.
     */
    public void awaitFailure() throws InterruptedException {
        failed.await();
    }

    /**
     * Prepares a planned stop: transfers leadership if this replica leads, waits for the election, and closes the event
     * log.
     */
    public void shutDown() {
        events.emit(EventCode.STOPPING, 0);
        loop.execute(replica::transferLeadership);
        try {
            Thread.sleep(LEADERSHIP_TRANSFER_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        events.emit(EventCode.STOPPED, 0);
        events.close();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        supervisor.close();
        timers.close();
        schedulerHost.close();
        links.close();
        replica.close();
        loop.close();
        transportThreads.shutdownGracefully();
    }

    /** Logs the start and the role changes of the replica, and starts reading the host list when it becomes leader. */
    private final class ReplicaObserver implements ReplicaRunner.Observer {
        /** {@inheritDoc} */
        @Override
        public void onStarted(String identity, int entries, long snapshotIndex) {
            events.emit(EventCode.RECOVERED, identity, entries, snapshotIndex);
        }

        /** {@inheritDoc} */
        @Override
        public void onRoleChanged(String identity, Role role, long term) {
            events.emit(EventCode.ROLE, role, term, replica.voters());
            metrics.recordRole(role, term);
            if (role == Role.LEADER) {
                hostListReader.onElected();
            }
        }
    }

    /**
     * Returns the identity of the disk, and gives a blank disk a new one. At the first start of the whole system the
     * seeds form the group. At any other time a blank disk belongs to a host that is new or has lost its state, and
     * joins the group under a new name.
     */
    private Identity identityOf(DataFolder folder) {
        String node = settings.peerAddress().toString();
        if (!folder.isFormatted()) {
            Set<String> founders = addresses(settings.seeds());
            boolean isFounder = settings.founding() && founders.contains(node);
            String suffix = Integer.toString(new Random().nextInt(IDENTITY_SUFFIX_BOUND), Character.MAX_RADIX);
            folder.format(
                    isFounder
                            ? Identity.ofFounder(CLUSTER_NAME, node, founders)
                            : Identity.ofJoiner(CLUSTER_NAME, node, suffix));
        }
        return folder.identity(CLUSTER_NAME, node);
    }

    private static Set<String> addresses(List<HostPort> hosts) {
        Set<String> addresses = new TreeSet<>();
        hosts.forEach(host -> addresses.add(host.toString()));
        return addresses;
    }

    /**
     * Returns the folder of the control state within the data folder.
     *
     * @param dataFolder the data folder that the platform provides.
     * @return the folder of the control state.
     */
    public static Path stateFolder(Path dataFolder) {
        return dataFolder.resolve("state");
    }
}
