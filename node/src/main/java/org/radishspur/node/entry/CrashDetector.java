package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.upstream.UpstreamProbe;
import org.radishspur.node.upstream.UpstreamProbe.Result;

/**
 * Determines whether the upstream has ended where connections to it were lost, and which requests were in flight then.
 * The traffic thread owns it.
 */
final class CrashDetector {
    private final UpstreamProbe probe;
    private final EventLog events;
    private final Map<String, List<LostRequest>> pending = new HashMap<>();

    CrashDetector(UpstreamProbe probe, EventLog events) {
        this.probe = probe;
        this.events = events;
    }

    /** Checks an upstream after a request has lost its connection to it. Requests lost together share one check. */
    void onConnectionLost(Upstream upstream, String requestId, long fingerprint) {
        List<LostRequest> lost = pending.get(upstream.runId());
        if (lost == null) {
            lost = new ArrayList<>();
            pending.put(upstream.runId(), lost);
            probe.check(upstream.address(), result -> onResult(upstream, result));
        }
        lost.add(new LostRequest(requestId, fingerprint));
    }

    private void onResult(Upstream upstream, Result result) {
        for (LostRequest lost : pending.remove(upstream.runId())) {
            events.emitForRequest(
                    EventCode.CONNECTION_LOST,
                    lost.requestId(),
                    upstream.id(),
                    Long.toHexString(lost.fingerprint()),
                    result.name());
        }
    }

    /**
     * Describes a request whose connection was lost.
     *
     * @param requestId the caller's identifier of the request.
     * @param fingerprint identifies the request by its content.
     */
    private record LostRequest(String requestId, long fingerprint) {}
}
