package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.radishspur.decision.slot.CrashLedger;
import org.radishspur.decision.slot.CrashNote;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.upstream.UpstreamProbe;
import org.radishspur.node.upstream.UpstreamProbe.Result;

/**
 * Determines whether the upstream has ended where connections to it were lost, and notes the requests that were in
 * flight then, so that a request that ends each upstream is refused at all entries. The traffic thread owns it.
 */
final class CrashDetector {
    private final UpstreamProbe probe;
    private final CrashLedger ledger;
    private final Consumer<List<CrashNote>> publisher;
    private final EventLog events;
    private final Map<String, List<LostRequest>> pending = new HashMap<>();
    private long published;

    /**
     * Creates a detector.
     *
     * @param probe checks whether an upstream still runs.
     * @param ledger holds the notes on crashes.
     * @param publisher sends new notes to the other hosts.
     * @param events the event log.
     */
    CrashDetector(UpstreamProbe probe, CrashLedger ledger, Consumer<List<CrashNote>> publisher, EventLog events) {
        this.probe = probe;
        this.ledger = ledger;
        this.publisher = publisher;
        this.events = events;
    }

    /** Checks an upstream after a request has lost its connection to it. Requests lost together share one check. */
    void onConnectionLost(Upstream upstream, LostRequest request) {
        check(upstream, request);
    }

    /**
     * Checks an upstream after a response that seems complete, but whose end only the close of the connection shows.
     * Nothing is checked while no request is suspected, as such a response is the usual one of some upstreams.
     */
    void onResponseClosed(Upstream upstream, Supplier<LostRequest> request) {
        if (!ledger.isEmpty()) {
            check(upstream, request.get());
        }
    }

    private void check(Upstream upstream, LostRequest request) {
        boolean checking = pending.containsKey(upstream.runId());
        pending.computeIfAbsent(upstream.runId(), key -> new ArrayList<>()).add(request);
        if (!checking) {
            probe.check(upstream.address(), result -> onResult(upstream, result));
        }
    }

    private void onResult(Upstream upstream, Result result) {
        for (LostRequest lost : pending.remove(upstream.runId())) {
            events.emitForRequest(
                    EventCode.CONNECTION_LOST,
                    lost.requestId(),
                    upstream.id(),
                    Long.toHexString(lost.fingerprint()),
                    result.name(),
                    String.join(",", lost.parts()),
                    lost.begun(),
                    lost.millis());
            if (result == Result.REFUSED) {
                ledger.recordCrash(lost.fingerprint(), upstream.runId().hashCode(), EntryServices.now());
            } else if (result == Result.ACCEPTED && lost.answered()) {
                ledger.recordCompletion(lost.fingerprint());
            }
        }
        publish();
    }

    /** Clears a request that an upstream has answered to the end; its fingerprint is computed only if it may matter. */
    void onResponseComplete(LongSupplier fingerprint) {
        if (!ledger.isEmpty() && ledger.recordCompletion(fingerprint.getAsLong())) {
            publish();
        }
    }

    /** Returns for how long a request is refused, in milliseconds; 0 if it may run. */
    long refusedForMillis(LongSupplier fingerprint) {
        return ledger.isEmpty() ? 0 : ledger.refusedForMillis(fingerprint.getAsLong(), EntryServices.now());
    }

    private void publish() {
        CrashLedger.Changes changes = ledger.changesSince(published, EntryServices.now());
        published = changes.position();
        if (!changes.notes().isEmpty()) {
            publisher.accept(changes.notes());
        }
    }

    /**
     * Describes a request whose connection was lost.
     *
     * @param requestId the caller's identifier of the request.
     * @param fingerprint identifies the request by its content.
     * @param parts the identities of the shared parts of its prompt.
     * @param begun whether a part of its response had been received.
     * @param millis the time since it was sent, in milliseconds.
     * @param answered whether it has a response that is complete unless the upstream has ended.
     */
    record LostRequest(
            String requestId, long fingerprint, List<String> parts, boolean begun, long millis, boolean answered) {}
}
