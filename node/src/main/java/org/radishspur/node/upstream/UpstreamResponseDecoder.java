package org.radishspur.node.upstream;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on one connection, on which one request at a time is in progress.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    /** The beginning of a status line, which a head contains only at its own beginning. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private HttpMethod method = HttpMethod.GET;

    /** Sets the method of the request that is being sent, which decides whether its response has a body. */
    void setMethod(HttpMethod newMethod) {
        method = newMethod;
    }

    /** Returns whether bytes were received behind the part that was decoded last. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }

    /**
     * Returns whether a head consists of two: an upstream that breaks off within a head and goes on with another response
     * sends one that has the status of the first and the headers of the second.
     *
     * @param response the decoded head.
     * @return whether a status line stands within it.
     */
    static boolean isJoined(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
