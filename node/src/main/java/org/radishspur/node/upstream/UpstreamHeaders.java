package org.radishspur.node.upstream;

import java.util.Set;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Defines the headers between radishspur-node and upstreams, and copies end-to-end headers for both programs.
 */
public enum UpstreamHeaders {
    /** The only instance; it has no state. */
    INSTANCE;

    /** The response header by which an upstream states that it did not admit a request. */
    public static final String ADMISSION = "Radishspur-Admission";

    /** The value of {@link #ADMISSION} for a request that was not admitted. */
    public static final String ADMISSION_REFUSED = "refused";

    /** The value of {@link #ADMISSION} for a request that was not admitted because the upstream is shutting down. */
    public static final String ADMISSION_DRAINING = "draining";

    /** The response header with the number of requests that the upstream is running. */
    public static final String LOAD_RUNNING = "Radishspur-Load-Running";

    /** The response header with the number of requests that are queued inside the upstream. */
    public static final String LOAD_WAITING = "Radishspur-Load-Waiting";

    /** The response header of an upstream that is shutting down, and completes the requests that it is running. */
    public static final String LEAVING = "Radishspur-Leaving";

    /** The response header with the number of the run of the upstream's process. */
    public static final String INCARNATION = "Radishspur-Incarnation";

    /** The header with the identifier of an attempt, for the upstream's log, or of a request, for its caller. */
    public static final String REQUEST = "Radishspur-Request";

    /** The request header with the time until the deadline, in milliseconds. */
    public static final String REMAINING_MILLIS = "Radishspur-Remaining-Millis";

    private static final String EVENT_STREAM = "text/event-stream";
    private static final Pattern INCARNATION_NUMBER = Pattern.compile("\\d{1,18}");
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    /**
     * Copies end-to-end headers, which are all but hop-by-hop headers and those that the Connection header names.
     *
     * @param from the headers received on one connection.
     * @param to the headers to be sent on the other connection.
     */
    public void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> connectionHeaders = new java.util.HashSet<>();
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                connectionHeaders.add(token.strip().toLowerCase(java.util.Locale.ROOT));
            }
        }
        from.forEach(header -> {
            String name = header.getKey().toLowerCase(java.util.Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionHeaders.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        });
    }

    /**
     * Copies a request that has been read completely, to be sent on another connection.
     *
     * @param request the head of the request.
     * @param body the body, which the copy releases.
     * @return the copy with the end-to-end headers and the length of the body, stated where there is a body or
     *     the request stated one.
     */
    public FullHttpRequest copyRequest(HttpRequest request, ByteBuf body) {
        FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), body);
        copyEndToEnd(request.headers(), copy.headers());
        boolean hasBody = body.isReadable() || HttpUtil.isContentLengthSet(request);
        copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        if (hasBody) {
            HttpUtil.setContentLength(copy, body.readableBytes());
        }
        return copy;
    }

    /**
     * Returns whether the body of a response may be an event stream.
     *
     * @param response the head of the response.
     * @return whether it states that, or states no type at all.
     */
    public boolean mayBeEventStream(HttpResponse response) {
        return isEventStream(response.headers().get(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM));
    }

    /**
     * Returns whether a content type is that of event streams.
     *
     * @param contentType the content type, with or without parameters.
     * @return whether it is.
     */
    public boolean isEventStream(String contentType) {
        return contentType.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }

    /**
     * Returns what an upstream states about the admission of a request.
     *
     * @param response the head of its response.
     * @return the admission; only a response with status 503 can state that the request was not admitted.
     */
    public Admission admissionOf(HttpResponse response) {
        String value = response.headers().get(ADMISSION, "");
        if (!response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            return Admission.ADMITTED;
        }
        return switch (value) {
            case ADMISSION_REFUSED -> Admission.REFUSED;
            case ADMISSION_DRAINING -> Admission.DRAINING;
            default -> Admission.ADMITTED;
        };
    }

    /**
     * Returns which run of an upstream's process has responded.
     *
     * @param headers the headers of its response.
     * @return the number of the run, or 0 where the header is missing or not a number of up to 18 digits.
     */
    public long incarnationOf(HttpHeaders headers) {
        String value = headers.get(INCARNATION, "");
        return INCARNATION_NUMBER.matcher(value).matches() ? Long.parseLong(value) : 0;
    }

    /**
     * What an upstream may state about the admission of a request.
     */
    public enum Admission {
        /** The request was admitted. */
        ADMITTED,
        /** The request was not admitted. */
        REFUSED,
        /** The request was not admitted, because the upstream is shutting down. */
        DRAINING
    }
}
