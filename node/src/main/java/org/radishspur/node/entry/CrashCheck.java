package org.radishspur.node.entry;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.radishspur.decision.crash.Admission;
import org.radishspur.decision.crash.RequestSignatures;
import org.radishspur.model.catalogue.Upstream;
import org.radishspur.node.caller.BodyDigest;
import org.radishspur.node.entry.CrashDetector.LostRequest;
import org.radishspur.node.upstream.ResponseEnd;
import org.radishspur.node.upstream.UpstreamProbe.Result;

/**
 * Holds the signatures of one request by which it may end upstreams, and whether it runs as a trial. They are computed when
 * they are first needed. The traffic thread owns it.
 */
final class CrashCheck {
    /** The number of hexadecimal digits of a fingerprint that are used, as many as a long holds. */
    private static final int FINGERPRINT_DIGITS = 16;

    private final EntryServices services;
    private final EntryExchange exchange;
    private final ExchangeLog log;
    private Optional<RequestSignatures> signatures = Optional.empty();
    private Optional<List<Long>> parts = Optional.empty();
    private boolean trial;

    CrashCheck(EntryServices services, EntryExchange exchange, ExchangeLog log) {
        this.services = services;
        this.exchange = exchange;
        this.log = log;
    }

    /** Lets the upstream be checked after the request has lost its connection to it. */
    void onConnectionLost(Upstream upstream, boolean begun, long millis, Consumer<Result> listener) {
        services.crashes().onConnectionLost(upstream, lostRequest(begun, millis, false, listener));
    }

    /**
     * Records that an upstream has answered the request to the end, so that it doesn't end upstreams. Where only the
     * close of the connection shows the end, the upstream may have ended instead.
     */
    void onResponseComplete(Upstream upstream, ResponseEnd end, long millis) {
        if (end == ResponseEnd.STATED) {
            services.crashes().onResponseComplete(upstream, parts(), this::signatures);
        } else {
            services.crashes().onResponseClosed(upstream, () -> lostRequest(true, millis, true, result -> {}));
        }
    }

    private LostRequest lostRequest(boolean begun, long millis, boolean answered, Consumer<Result> listener) {
        return new LostRequest(
                exchange.head().requestId(),
                signatures(),
                exchange.head().sharedParts(),
                begun,
                millis,
                answered,
                listener);
    }

    /** Decides whether the request may run; a trial that has begun may. */
    Admission admit() {
        return trial ? Admission.ALLOWED : services.crashes().admit(this::signatures);
    }

    /** Lets the request run as a trial if it has a suspected signature. */
    void beginTrialIfSuspected() {
        Admission admission = admit();
        if (admission.verdict() == Admission.Verdict.TRIAL) {
            log.suspected(admission, suspectName(admission));
            trial = true;
            services.crashes().beginTrial(signatures());
        }
    }

    /** Ends the trial if the request was one. */
    void endTrial() {
        if (trial) {
            services.crashes().endTrial(signatures());
        }
    }

    /** Returns whether the request may be sent to another upstream after one has ended under it. */
    boolean mayRetry() {
        return services.crashes().mayRetry(this::signatures);
    }

    /** Returns whether the request should be withdrawn from its upstream. */
    boolean isToBeWithdrawn() {
        return !trial && services.crashes().isToBeWithdrawn(signatures());
    }

    /** Returns the identity of the suspected part, or a text that denotes the content. */
    String suspectName(Admission admission) {
        return exchange.head().sharedParts().stream()
                .filter(part -> RequestSignatures.ofPart(part) == admission.suspect())
                .findFirst()
                .orElse("content");
    }

    private RequestSignatures signatures() {
        if (signatures.isEmpty()) {
            signatures = Optional.of(new RequestSignatures(fingerprint(), parts()));
        }
        return signatures.get();
    }

    private List<Long> parts() {
        if (parts.isEmpty()) {
            parts = Optional.of(exchange.head().sharedParts().stream()
                    .map(RequestSignatures::ofPart)
                    .distinct()
                    .toList());
        }
        return parts.get();
    }

    /**
     * Returns the fingerprint of the request by what doesn't change when its caller sends it again: its route, its
     * organisation, its method, its target and its body.
     */
    private long fingerprint() {
        String target = exchange.route().name()
                + '\n'
                + exchange.routed().organisationName()
                + '\n'
                + exchange.request().uri();
        String digits = BodyDigest.fingerprint(
                exchange.request().method().name(), target, exchange.body().readableBytes(), exchange.body());
        return Long.parseUnsignedLong(digits.substring(0, FINGERPRINT_DIGITS), 16);
    }
}
