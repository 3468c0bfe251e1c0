package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.radishspur.decision.crash.Admission;
import org.radishspur.decision.crash.CrashGuard;
import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.crash.CrashNote;
import org.radishspur.decision.crash.RequestSignatures;
import org.radishspur.decision.crash.Suspect;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.log.EventLog;
import org.radishspur.node.upstream.UpstreamProbe;
import org.radishspur.node.upstream.UpstreamProbe.Result;

/**
 * Determines whether the upstream has ended where connections to it were lost, and notes the requests that were in
 * flight then, so that requests with the signature that ends each upstream are refused at all entries. The traffic thread
 * owns it.
 */
final class CrashDetector {
    /**
     * How often an upstream is checked until a check shows whether it runs. An ended upstream whose host is slow to refuse
     * connections would otherwise leave no evidence.
     */
    private static final int MAX_CHECKS = 4;

    /** The maximum number of ended upstreams whose cause may still be found. */
    private static final int MAX_ENDED_ADDRESSES = 64;

    private final UpstreamProbe probe;
    private final CrashLedger ledger;
    private final CrashGuard guard;
    private final Consumer<List<CrashNote>> publisher;
    private final Runnable suspectListener;
    private final Consumer<String> endListener;
    private final EventLog events;
    private final Map<String, List<LostRequest>> pending = new HashMap<>();
    private final Map<Integer, String> endedAddresses = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, String> eldest) {
            return size() > MAX_ENDED_ADDRESSES;
        }
    };

    private Map<Long, Suspect> suspects = Map.of();
    private long published;
    private volatile int suspectCount;

    /**
     * Creates a detector.
     *
     * @param probe checks whether an upstream still runs.
     * @param ledger holds the notes on crashes.
     * @param guard decides by these notes.
     * @param publisher sends new notes to the other hosts.
     * @param suspectListener is notified when there is a new suspect.
     * @param endListener receives the address of an upstream that a part of prompts has probably ended.
     * @param events the event log.
     */
    CrashDetector(
            UpstreamProbe probe,
            CrashLedger ledger,
            CrashGuard guard,
            Consumer<List<CrashNote>> publisher,
            Runnable suspectListener,
            Consumer<String> endListener,
            EventLog events) {
        this.probe = probe;
        this.ledger = ledger;
        this.guard = guard;
        this.publisher = publisher;
        this.suspectListener = suspectListener;
        this.endListener = endListener;
        this.events = events;
    }

    /**
     * Checks an upstream after a request has lost its connection to it. Requests lost together share one check. The
     * listener of the request is notified after all of them have been noted.
     */
    void onConnectionLost(Upstream upstream, LostRequest request) {
        check(upstream, request);
    }

    /**
     * Checks an upstream after a response that seems complete, but whose end only the close of the connection shows.
     * Nothing is checked while no request is suspected, as such a response is the usual one of some upstreams.
     */
    void onResponseClosed(Upstream upstream, Supplier<LostRequest> request) {
        if (!guard.isIdle()) {
            check(upstream, request.get());
        }
    }

    private void check(Upstream upstream, LostRequest request) {
        check(upstream, List.of(request), 1);
    }

    /** Checks an upstream, unless a check of it is in progress; its result is for the added requests too then. */
    private void check(Upstream upstream, List<LostRequest> requests, int checks) {
        boolean checking = pending.containsKey(upstream.runId());
        pending.computeIfAbsent(upstream.runId(), key -> new ArrayList<>()).addAll(requests);
        requests.stream()
                .filter(request -> !request.answered())
                .forEach(request ->
                        guard.beginCheck(request.signatures(), upstream.runId().hashCode()));
        if (!checking) {
            probe.check(upstream.address(), result -> onResult(upstream, result, checks));
        }
    }

    private void onResult(Upstream upstream, Result result, int checks) {
        List<LostRequest> checked = pending.remove(upstream.runId());
        int end = upstream.runId().hashCode();
        boolean checkedAgain = result == Result.UNKNOWN && checks < MAX_CHECKS;
        if (!checkedAgain) {
            guard.endCheck(end);
        }
        if (result == Result.REFUSED) {
            endedAddresses.put(end, upstream.address());
        }
        for (LostRequest lost : checked) {
            events.emitForRequest(
                    EventCode.CONNECTION_LOST,
                    lost.requestId(),
                    upstream.id(),
                    Long.toHexString(lost.signatures().content()),
                    result.name(),
                    String.join(",", lost.parts()),
                    lost.begun(),
                    lost.millis(),
                    Integer.toHexString(end));
            if (result == Result.REFUSED) {
                guard.recordCrash(lost.signatures(), upstream.pool(), end, EntryServices.now());
            } else if (result == Result.ACCEPTED && lost.answered()) {
                guard.recordAnswer(lost.signatures().parts(), upstream.pool(), EntryServices.now());
                guard.clear(lost.signatures());
            }
        }
        onChange();
        checked.forEach(lost -> lost.listener().accept(result));
        if (checkedAgain) {
            check(upstream, checked.stream().map(LostRequest::withoutListener).toList(), checks + 1);
        }
    }

    /** Clears a request that an upstream has answered to the end; its content is digested only if it may matter. */
    void onResponseComplete(Upstream upstream, List<Long> parts, Supplier<RequestSignatures> signatures) {
        guard.recordAnswer(parts, upstream.pool(), EntryServices.now());
        if (!guard.isIdle() && guard.clear(signatures.get())) {
            onChange();
        }
    }

    /** Applies notes that another process has sent. */
    void onNotes(Collection<CrashNote> notes) {
        if (notes.isEmpty()) {
            return;
        }
        boolean allPublished = published == ledger.latestPosition();
        boolean added = guard.merge(notes, EntryServices.now());
        if (allPublished && !added) {
            // What comes from another process isn't sent back to it.
            published = ledger.latestPosition();
        }
        onChange();
    }

    /** Decides whether a request may run. */
    Admission admit(Supplier<RequestSignatures> signatures) {
        return suspects.isEmpty() && !guard.isChecking()
                ? Admission.ALLOWED
                : guard.admit(signatures.get(), EntryServices.now());
    }

    /** Returns whether a request may be sent to another upstream after one has ended under it. */
    boolean mayRetry(Supplier<RequestSignatures> signatures) {
        return guard.isIdle() || guard.mayRetry(signatures.get(), EntryServices.now());
    }

    /** Returns whether a request in flight should be withdrawn. */
    boolean isToBeWithdrawn(RequestSignatures signatures) {
        return guard.isToBeWithdrawn(signatures, EntryServices.now());
    }

    /** Returns whether a suspect was in flight at the end of an upstream, so that the end shows nothing about it. */
    boolean isExplained(Upstream upstream) {
        return guard.isExplained(upstream.runId().hashCode(), EntryServices.now());
    }

    void beginTrial(RequestSignatures signatures) {
        guard.beginTrial(signatures, EntryServices.now());
    }

    void endTrial(RequestSignatures signatures) {
        guard.endTrial(signatures);
    }

    /** Returns the number of suspects; any thread may call this. */
    int suspectCount() {
        return suspectCount;
    }

    private void onChange() {
        publish();
        Map<Long, Suspect> previous = suspects;
        suspects = guard.suspects(EntryServices.now()).stream()
                .collect(Collectors.toMap(Suspect::signature, suspect -> suspect));
        suspectCount = suspects.size();
        previous.keySet().stream()
                .filter(signature -> !suspects.containsKey(signature))
                .forEach(signature -> emit("cleared", previous.get(signature)));
        List<Suspect> added = suspects.values().stream()
                .filter(suspect -> !previous.containsKey(suspect.signature()))
                .toList();
        added.forEach(suspect -> emit("suspected", suspect));
        if (!added.isEmpty()) {
            suspectListener.run();
        }
        reportEndedUpstreams();
    }

    private void reportEndedUpstreams() {
        if (!endedAddresses.isEmpty()) {
            for (int end : guard.upstreamsEndedByParts(EntryServices.now())) {
                String address = endedAddresses.remove(end);
                if (address != null) {
                    endListener.accept(address);
                }
            }
        }
    }

    private void emit(String state, Suspect suspect) {
        events.emit(
                EventCode.CRASH_SUSPECT,
                state,
                Long.toHexString(suspect.signature()),
                suspect.ends(),
                suspect.latestEndAt() - suspect.firstEndAt(),
                suspect.sole(),
                suspect.answeredBefore());
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
     * @param signatures the signatures of the request.
     * @param parts the identities of the shared parts of its prompt.
     * @param begun whether a part of its response had been received.
     * @param millis the time since it was sent, in milliseconds.
     * @param answered whether it has a response that is complete unless the upstream has ended.
     * @param listener receives the result of the first check.
     */
    record LostRequest(
            String requestId,
            RequestSignatures signatures,
            List<String> parts,
            boolean begun,
            long millis,
            boolean answered,
            Consumer<Result> listener) {
        private LostRequest withoutListener() {
            return new LostRequest(requestId, signatures, parts, begun, millis, answered, unused -> {});
        }
    }
}
