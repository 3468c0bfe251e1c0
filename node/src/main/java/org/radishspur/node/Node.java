package org.radishspur.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.radishspur.node.admin.AdminServer;
import org.radishspur.node.caller.CallerServer;
import org.radishspur.node.caller.CallerServices;
import org.radishspur.node.control.ControlLoop;
import org.radishspur.node.control.NodeCore;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.metrics.NodeMetrics;
import org.radishspur.node.peer.PeerConnections;
import org.radishspur.node.peer.PeerKey;
import org.radishspur.node.peer.PeerServer;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.settings.SecretFile;
import org.radishspur.node.supervise.Supervisor;

/**
 * Runs one node of the program radishspur-node: the control thread, the traffic threads, and the servers for peers,
 * operators and callers, which one root supervisor restarts when they fail.
 */
public final class Node implements AutoCloseable {
    /** How often a shutdown checks whether requests are still in progress, in milliseconds. */
    private static final long POLL_MILLIS = 20;

    /** How long a shutdown lets other nodes take over pools and leadership before it stops accepting requests. */
    private static final long HANDOVER_WAIT_MILLIS = 300;

    private final NodeSettings settings;
    private final NodeMetrics metrics = new NodeMetrics();
    private final ControlLoop controlLoop = new ControlLoop();
    private final EventLoopGroup group;
    private final NodeCore core;
    private final CallerServices services;
    private final Supervisor.Scheduler.ThreadScheduler scheduler = new Supervisor.Scheduler.ThreadScheduler();
    private final Supervisor rootSupervisor;
    private final CountDownLatch failed = new CountDownLatch(1);
    private volatile CallerServer callerServer;

    /**
     * Creates a node and starts it.
     *
     * @param settings the settings of the node.
     * @throws org.radishspur.model.error.RadishspurException if a file of secrets can't be read, holds too short a
     *     secret, or is readable by other users.
     */
    public Node(NodeSettings settings) {
        this.settings = settings;
        // The incarnation grows with each run of the process, provided that the wall clock doesn't go back across a
        // restart.
        long incarnation = System.currentTimeMillis();
        String secret = SecretFile.INSTANCE.read(settings.sharedKeyFile());
        String token = SecretFile.INSTANCE.read(settings.adminTokenFile());
        PeerKey key = new PeerKey(secret);
        controlLoop.setFailureListener(cause -> failed.countDown());
        group = new MultiThreadIoEventLoopGroup(settings.limits().trafficThreads(), NioIoHandler.newFactory());
        core = new NodeCore(
                settings,
                incarnation,
                controlLoop,
                listener -> new PeerConnections(settings, key, incarnation, group, listener, metrics));
        services = new CallerServices(settings, core, metrics);
        registerGauges();
        rootSupervisor = new Supervisor("node", scheduler, controlLoop::nowMillis)
                .supervise("peer-server", () -> new PeerServer(settings, key, group, core, metrics))
                .supervise("edges", () -> httpServers(token));
        core.start();
        rootSupervisor.start(cause -> failed.countDown());
    }

    private Supervisor httpServers(String token) {
        Supervisor httpServers = new Supervisor("edges", scheduler, controlLoop::nowMillis)
                .supervise("admin-server", () -> new AdminServer(settings, token, core, metrics, this::isReady, group));
        if (settings.isEntry()) {
            httpServers.supervise("caller-server", () -> callerServer = new CallerServer(services, group));
        }
        return httpServers;
    }

    private boolean isReady() {
        CallerServer current = callerServer;
        return core.isReady() && (!settings.isEntry() || current != null && current.isListening());
    }

    private void registerGauges() {
        metrics.registry().register("requests.in-progress", (Gauge<Integer>) services::inProgress);
        metrics.registry()
                .register("tables.revision", (Gauge<Long>) () -> core.tables().revision());
        metrics.registry().register("heap.used-bytes", (Gauge<Long>) () -> {
            Runtime runtime = Runtime.getRuntime();
            return runtime.totalMemory() - runtime.freeMemory();
        });
    }

    /**
     * Waits until a component of the node has failed permanently.
     *
     * @throws InterruptedException if the waiting thread is interrupted.
     */
    public void awaitFailure() throws InterruptedException {
        failed.await();
    }

    /**
     * Shuts down in order: hands over pools and leadership, stops accepting requests, and waits for those in progress,
     * for no longer than the settings allow.
     *
     * @return the number of requests that were still in progress when the time was up, and were cut off.
     */
    public int shutDown() {
        ComponentLog.NODE.info("Node " + settings.node() + " is shutting down.");
        core.beginShutdown();
        sleepFor(HANDOVER_WAIT_MILLIS);
        if (callerServer != null) {
            callerServer.stopAccepting();
        }
        long deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(settings.timeouts().shutdownMillis());
        while (services.inProgress() > 0 && System.nanoTime() < deadlineNanos) {
            sleepFor(POLL_MILLIS);
        }
        int cutOff = services.inProgress();
        ComponentLog.NODE.info("Node " + settings.node() + " stops; " + cutOff + " requests in progress were cut off.");
        close();
        return cutOff;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        rootSupervisor.close();
        scheduler.close();
        core.close();
        controlLoop.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private static void sleepFor(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
