package org.radishspur.node.entry;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.radishspur.node.log.EventCode;

/**
 * Counts how one request ended, and tells it in the structured log with what decided it.
 */
final class ExchangeLog {
    /** How many tiers of routes are told apart within the rank of an organisation. */
    private static final int TIERS = 16;

    private final EntryServices services;
    private final CallerExchange exchange;

    ExchangeLog(EntryServices services, CallerExchange exchange) {
        this.services = services;
        this.exchange = exchange;
    }

    void refused(EndReason reason, long retryAfterMillis, int waiting, int slots) {
        services.metrics().refused(reason.code());
        services.events()
                .emitFor(
                        EventCode.REFUSED,
                        request(),
                        reason.code(),
                        reason.status(),
                        retryAfterMillis,
                        millis(),
                        waiting,
                        slots,
                        services.view().revision(),
                        rank(),
                        exchange.isReturning());
    }

    void failed(EndReason reason, String upstream, String cause) {
        services.metrics().failed(reason.code());
        services.events()
                .emitFor(
                        EventCode.FAILED,
                        request(),
                        reason.code(),
                        reason.status(),
                        upstream,
                        millis(),
                        cause,
                        events(),
                        exchange.head().promptTokens(),
                        exchange.head().expectedTokens(),
                        rank(),
                        exchange.isReturning());
    }

    void retried(String reason, String upstream, int attempt) {
        services.metrics().retried(reason);
        services.events().emitFor(EventCode.RETRIED, request(), reason, upstream, attempt, millis());
    }

    void answered(int status, String upstream, long firstMillis, long longestPauseMillis) {
        services.metrics().answered(firstMillis, millis());
        if (status >= HttpResponseStatus.BAD_REQUEST.code() || services.events().samples(request())) {
            services.events()
                    .emitFor(
                            EventCode.ANSWERED,
                            request(),
                            status,
                            upstream,
                            firstMillis,
                            millis(),
                            longestPauseMillis,
                            events(),
                            exchange.head().promptTokens(),
                            exchange.head().expectedTokens(),
                            rank(),
                            exchange.isReturning());
        }
    }

    void left(String upstream) {
        services.metrics().left();
        if (exchange.head() != null) {
            services.events()
                    .emitFor(
                            EventCode.LEFT,
                            request(),
                            upstream,
                            millis(),
                            events(),
                            exchange.head().promptTokens(),
                            exchange.head().expectedTokens(),
                            rank(),
                            exchange.isReturning());
        }
    }

    /** Returns the caller's name for the request, or an empty text where its head was not read. */
    private String request() {
        return exchange.head() == null ? "" : exchange.head().request();
    }

    private long millis() {
        return EntryServices.now() - exchange.arrivedAt();
    }

    /** Returns how many events of a stream have come. */
    private long events() {
        return exchange.splitter() == null ? 0 : exchange.splitter().events();
    }

    /** Returns the rank of the organisation and the tier of the route as one number. */
    private int rank() {
        int tier = exchange.route() == null ? 0 : Math.min(exchange.route().priority(), TIERS - 1);
        return exchange.organisationRank() * TIERS + tier;
    }
}
