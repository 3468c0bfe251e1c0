package org.radishspur.node.caller;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoop;
import org.radishspur.model.request.RequestKey;
import org.radishspur.node.control.NodeCore;
import org.radishspur.node.metrics.NodeMetrics;
import org.radishspur.node.settings.NodeSettings;
import org.radishspur.node.upstream.UpstreamConnections;

/**
 * Holds the services and counts that all exchanges of a node share.
 */
public final class CallerServices {
    private final NodeSettings settings;
    private final NodeCore core;
    private final NodeMetrics metrics;
    private static final int MAX_RETRY_BURST = 100;

    private final RetryBudget retryBudget;
    private final Map<EventLoop, UpstreamConnections> connections = new ConcurrentHashMap<>();
    private final Set<RequestKey> localClaims = ConcurrentHashMap.newKeySet();
    private final AtomicInteger inProgress = new AtomicInteger();

    /**
     * Creates the shared services.
     *
     * @param settings the settings of the node.
     * @param core the core of the node, which grants claims and permits.
     * @param metrics the metrics of the node.
     */
    public CallerServices(NodeSettings settings, NodeCore core, NodeMetrics metrics) {
        this.settings = settings;
        this.core = core;
        this.metrics = metrics;
        this.retryBudget = new RetryBudget(settings.limits().retryShare(), MAX_RETRY_BURST);
    }

    NodeSettings settings() {
        return settings;
    }

    NodeCore core() {
        return core;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    Set<RequestKey> localClaims() {
        return localClaims;
    }

    UpstreamConnections connections(EventLoop loop) {
        return connections.computeIfAbsent(
                loop,
                key -> new UpstreamConnections(
                        key,
                        settings.timeouts().connectMillis(),
                        settings.timeouts().upstreamKeepMillis()));
    }

    void requestBegan() {
        inProgress.incrementAndGet();
    }

    void requestEnded() {
        inProgress.decrementAndGet();
    }

    /**
     * Returns the number of requests that have begun and not yet ended.
     *
     * @return the number of requests in progress.
     */
    public int inProgress() {
        return inProgress.get();
    }
}
