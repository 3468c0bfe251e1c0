package org.radishspur.node.caller;

import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.radishspur.model.error.Refusal;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.RequestKey;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.Tables;

/**
 * Reads the head of a request and validates it against the tables.
 */
final class RequestHeadReader {
    private static final Pattern ORGANISATION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final int MAX_TOKENS = 10_000_000;
    private static final int UNKNOWN_TOKENS = -1;

    private RequestHeadReader() {}

    static ValidatedRequest read(HttpRequest request, Tables tables) {
        String path = pathOf(request.uri());
        RouteRow route = tables.match(request.method().name(), path)
                .orElseThrow(() -> refuse(RefusalReason.UNKNOWN_ROUTE, "No route takes " + path + '.'));
        PoolRow pool = tables.pool(route.pool())
                .orElseThrow(() -> refuse(RefusalReason.UNKNOWN_ROUTE, "The route's pool is gone."));
        HttpHeaders headers = request.headers();
        checkFraming(headers, route);
        String organisation = organisation(headers);
        Optional<RequestKey> key = key(headers, organisation);
        if (route.keyRequired() && key.isEmpty()) {
            throw refuse(RefusalReason.KEY_REQUIRED, "The route needs the header Idempotency-Key.");
        }
        PoolKind kind = pool.kind();
        return new ValidatedRequest(
                route,
                kind,
                organisation,
                tier(headers, route),
                deadline(headers, route),
                key,
                tokens(headers, CallerHeaders.PROMPT_TOKENS),
                tokens(headers, CallerHeaders.OUTPUT_TOKENS));
    }

    private static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Refuses a request whose body is too long for its route, or whose length is ambiguous: the two ends of a
     * connection could disagree on where the request ends, and the rest would be parsed as another caller's request.
     */
    private static void checkFraming(HttpHeaders headers, RouteRow route) {
        boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (chunked && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
            throw refuse(RefusalReason.MALFORMED_REQUEST, "The length of the body is given twice.");
        }
        long length = headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? contentLength(headers) : 0;
        if (length > route.bodyLimitBytes()) {
            throw refuse(RefusalReason.BODY_TOO_LARGE, "The route takes at most " + route.bodyLimitBytes() + " bytes.");
        }
    }

    private static long contentLength(HttpHeaders headers) {
        try {
            return Long.parseLong(headers.get(HttpHeaderNames.CONTENT_LENGTH).strip());
        } catch (NumberFormatException exception) {
            throw refuse(RefusalReason.MALFORMED_REQUEST, "Content-Length is not a number.");
        }
    }

    private static String organisation(HttpHeaders headers) {
        String value = headers.get(CallerHeaders.ORGANISATION);
        if (value == null) {
            throw refuse(RefusalReason.ORGANISATION_REQUIRED, "The header Radishspur-Organisation is missing.");
        }
        if (!ORGANISATION.matcher(value).matches()) {
            throw refuse(RefusalReason.BAD_HEADER, "Radishspur-Organisation must match " + ORGANISATION + '.');
        }
        return value;
    }

    private static Optional<RequestKey> key(HttpHeaders headers, String organisation) {
        String value = headers.get(CallerHeaders.IDEMPOTENCY_KEY);
        if (value == null) {
            return Optional.empty();
        }
        if (!KEY.matcher(value).matches()) {
            throw refuse(RefusalReason.BAD_HEADER, "Idempotency-Key must have 1 to 200 visible characters.");
        }
        return Optional.of(new RequestKey(organisation, value));
    }

    private static Tier tier(HttpHeaders headers, RouteRow route) {
        String value = headers.get(CallerHeaders.TIER);
        if (value == null) {
            return route.defaultTier();
        }
        return Tier.parse(value)
                .orElseThrow(() -> refuse(RefusalReason.BAD_HEADER, "Radishspur-Tier names no tier."))
                .cappedAt(route.tierCeiling());
    }

    private static long deadline(HttpHeaders headers, RouteRow route) {
        String value = headers.get(CallerHeaders.DEADLINE_MILLIS);
        if (value == null) {
            return route.defaultDeadlineMillis();
        }
        long millis = parseNumber(value, CallerHeaders.DEADLINE_MILLIS, Long.MAX_VALUE);
        return Math.min(millis, route.deadlineCeilingMillis());
    }

    private static int tokens(HttpHeaders headers, String name) {
        String value = headers.get(name);
        return value == null ? UNKNOWN_TOKENS : (int) parseNumber(value, name, MAX_TOKENS);
    }

    private static long parseNumber(String value, String name, long max) {
        try {
            long parsed = Long.parseLong(value.strip());
            if (parsed >= 1 && parsed <= max) {
                return parsed;
            }
        } catch (NumberFormatException exception) {
            throw refuse(RefusalReason.BAD_HEADER, name + " is not a number.");
        }
        throw refuse(RefusalReason.BAD_HEADER, name + " must be from 1 to " + max + '.');
    }

    private static RefusalException refuse(RefusalReason reason, String detail) {
        return new RefusalException(Refusal.notRun(reason, detail));
    }

    static boolean expectsContinue(HttpRequest request) {
        return HttpUtil.is100ContinueExpected(request);
    }
}
