package org.radishspur.node.entry;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.radishspur.decision.crash.Admission;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotReply;
import org.radishspur.node.log.EventCode;
import org.radishspur.node.upstream.ResponseEnd;

/**
 * Counts the outcome of one request in the metrics and writes it to the structured log.
 */
final class ExchangeLog {
    /** How many tiers of routes the logged rank distinguishes within each rank of organisations. */
    private static final int TIERS_PER_RANK = 16;

    private final EntryServices services;
    private final EntryExchange exchange;

    ExchangeLog(EntryServices services, EntryExchange exchange) {
        this.services = services;
        this.exchange = exchange;
    }

    void refused(EndReason reason, long retryAfterMillis, SlotReply.Rejected rejected) {
        services.metrics().countRefused(reason.code());
        services.events()
                .emitForRequest(
                        EventCode.REFUSED,
                        requestId(),
                        reason.code(),
                        reason.status(),
                        retryAfterMillis,
                        elapsedMillis(),
                        rejected.queueLength(),
                        rejected.slots(),
                        services.view().revision(),
                        rank(),
                        rejected.prospect().firstExpectedMillis(),
                        rejected.prospect().expectedMillis(),
                        rejected.prospect().usableMillis());
    }

    /** Writes which signature of the request is suspected, and what follows from that. */
    void suspected(Admission admission, String suspect) {
        services.events()
                .emitForRequest(
                        EventCode.SUSPECTED,
                        requestId(),
                        admission.verdict().name(),
                        Long.toHexString(admission.suspect()),
                        suspect,
                        admission.ends(),
                        admission.retryAfterMillis());
    }

    void failed(EndReason reason, String upstream, String cause) {
        services.metrics().countFailed(reason.code());
        services.events()
                .emitForRequest(
                        EventCode.FAILED,
                        requestId(),
                        reason.code(),
                        reason.status(),
                        upstream,
                        elapsedMillis(),
                        cause,
                        eventCount(),
                        exchange.head().promptTokens(),
                        exchange.head().expectedOutputTokens(),
                        rank());
    }

    /** Writes that the upstream of a request has sent nothing for some time. */
    void silent(String upstream, long silentMillis, boolean pathBroken, RetryVerdict retry) {
        services.metrics().countSilent();
        services.events()
                .emitForRequest(
                        EventCode.SILENT,
                        requestId(),
                        upstream,
                        silentMillis,
                        pathBroken,
                        retry.name(),
                        eventCount(),
                        elapsedMillis());
    }

    /** Writes what becomes of the second attempt of a request; the cause is that of a failure. */
    void hedged(String state, UpstreamLoad upstream, String cause) {
        services.metrics().countHedged(state);
        services.events()
                .emitForRequest(
                        EventCode.HEDGED,
                        requestId(),
                        state,
                        upstream.upstream().id(),
                        exchange.attempts().upstreamName(),
                        cause,
                        eventCount(),
                        elapsedMillis());
    }

    void retried(String reason, String upstream, int attempt) {
        services.metrics().countRetried(reason);
        services.events()
                .emitForRequest(
                        EventCode.RETRIED,
                        requestId(),
                        reason,
                        upstream,
                        attempt,
                        elapsedMillis(),
                        exchange.attempts().connectionName());
    }

    void answered(UpstreamAttempt answered, int status, long firstMillis, ResponseEnd end) {
        services.metrics().recordAnswered(firstMillis, elapsedMillis());
        boolean endUncertain = end == ResponseEnd.CONNECTION_CLOSED;
        if (endUncertain) {
            services.metrics().countEndedByClose();
        }
        int sendings = exchange.attempts().sendings();
        if (endUncertain
                || sendings > 1
                || status >= HttpResponseStatus.BAD_REQUEST.code()
                || services.events().isSampled(requestId())) {
            services.events()
                    .emitForRequest(
                            EventCode.ANSWERED,
                            requestId(),
                            status,
                            answered.upstream().upstream().id(),
                            firstMillis,
                            elapsedMillis(),
                            answered.longestPauseMillis(),
                            eventCount(),
                            exchange.head().promptTokens(),
                            exchange.head().expectedOutputTokens(),
                            rank(),
                            end.name(),
                            answered.restBytes(),
                            sendings,
                            answered.connectionName(),
                            answered.isRequestWritten());
        }
    }

    void disconnected(String upstream) {
        services.metrics().countDisconnected();
        if (exchange.head() != null) {
            services.events()
                    .emitForRequest(
                            EventCode.LEFT,
                            requestId(),
                            upstream,
                            elapsedMillis(),
                            eventCount(),
                            exchange.head().promptTokens(),
                            exchange.head().expectedOutputTokens(),
                            rank());
        }
    }

    /** Returns the caller's identifier of the request, or an empty text where its head was not read. */
    private String requestId() {
        return exchange.head() == null ? "" : exchange.head().requestId();
    }

    /** Returns the time since the request arrived, in milliseconds. */
    private long elapsedMillis() {
        return EntryServices.now() - exchange.arrivedAt();
    }

    /** Returns how many complete events of the response stream were received. */
    private long eventCount() {
        return exchange.eventCount();
    }

    /** Returns the rank of the organisation and the tier of the route as one number. */
    private int rank() {
        RoutedRequest routed = exchange.routed();
        if (routed == null) {
            return 0;
        }
        int tier = Math.min(routed.route().priority(), TIERS_PER_RANK - 1);
        return routed.organisationRank() * TIERS_PER_RANK + tier;
    }
}
