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
import org.radishspur.node.log.PartLog;
import org.radishspur.node.metrics.NodeMetrics;
import org.radishspur.node.peer.PeerKey;
import org.radishspur.node.peer.PeerLinks;
import org.radishspur.node.peer.PeerServer;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.settings.SecretFile;
import org.radishspur.node.supervise.Supervisor;

/**
 * Runs one node: the control thread, the traffic threads and the edges, under one supervisor.
 */
public final class Node implements AutoCloseable {
    private static final long POLL_MILLIS = 20;
    private static final long HANDOVER_WAIT_MILLIS = 300;

    private final NodeSettings settings;
    private final NodeMetrics metrics = new NodeMetrics();
    private final ControlLoop controlLoop = new ControlLoop();
    private final EventLoopGroup group;
    private final NodeCore core;
    private final CallerServices services;
    private final Supervisor.Scheduler.ForThread scheduler = new Supervisor.Scheduler.ForThread();
    private final Supervisor rootSupervisor;
    private final CountDownLatch failed = new CountDownLatch(1);
    private volatile CallerServer callerServer;

    /**
     * Creates a node and starts it.
     *
     * @param settings the settings of the node.
     */
    public Node(NodeSettings settings) {
        this.settings = settings;
        // A later run of the process has a later number, as long as the wall clock doesn't go back over a restart.
        long incarnation = System.currentTimeMillis();
        String secret = SecretFile.INSTANCE.read(settings.sharedKeyFile());
        String token = SecretFile.INSTANCE.read(settings.adminTokenFile());
        PeerKey key = new PeerKey(secret);
        controlLoop.onFailure(cause -> failed.countDown());
        group = new MultiThreadIoEventLoopGroup(settings.limits().trafficThreads(), NioIoHandler.newFactory());
        core = new NodeCore(
                settings,
                incarnation,
                controlLoop,
                inbox -> new PeerLinks(settings, key, incarnation, group, inbox, metrics));
        services = new CallerServices(settings, core, metrics);
        registerGauges();
        rootSupervisor = new Supervisor("node", scheduler, controlLoop::nowMillis)
                .supervise("peer-server", () -> new PeerServer(settings, key, group, core, metrics))
                .supervise("edges", () -> edges(token));
        core.start();
        rootSupervisor.start(cause -> failed.countDown());
    }

    private Supervisor edges(String token) {
        Supervisor edges = new Supervisor("edges", scheduler, controlLoop::nowMillis)
                .supervise("admin-server", () -> new AdminServer(settings, token, core, metrics, this::isReady, group));
        if (settings.isEntry()) {
            edges.supervise("caller-server", () -> callerServer = new CallerServer(services, group));
        }
        return edges;
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
     * Waits until a part of the node has failed for good.
     *
     * @throws InterruptedException if the waiting thread is interrupted.
     */
    public void awaitFailure() throws InterruptedException {
        failed.await();
    }

    /**
     * Stops as planned: hands over what this node owns, takes no new requests, and waits for those in progress.
     *
     * @return how many requests were cut off because the time ran out.
     */
    public int shutDown() {
        PartLog.NODE.info("Node " + settings.node() + " shuts down.");
        core.beginShutdown();
        sleep(HANDOVER_WAIT_MILLIS);
        if (callerServer != null) {
            callerServer.stopAccepting();
        }
        long until = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(settings.timeouts().shutdownMillis());
        while (services.inProgress() > 0 && System.nanoTime() < until) {
            sleep(POLL_MILLIS);
        }
        int cut = services.inProgress();
        PartLog.NODE.info("Node " + settings.node() + " stops; it cut off " + cut + " requests.");
        close();
        return cut;
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

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
