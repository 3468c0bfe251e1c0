package org.radishspur.node.dialect;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.radishspur.model.catalogue.RequestLimit;
import org.radishspur.model.catalogue.RouteRule;
import org.radishspur.node.upstream.RequestIdentity;

/**
 * Decodes callers' requests and upstreams' responses, and encodes the parameters that the system adds to a request.
 */
public interface CallerDialect {
    /**
     * Decodes the head of a caller's request.
     *
     * @param request the head.
     * @return the decoded head.
     */
    RequestHead decodeHead(HttpRequest request);

    /**
     * Rewrites the headers of a request before it is sent to an upstream. Hop-by-hop headers have already been removed.
     *
     * @param headers the caller's headers, which are changed in place.
     * @param parameters the parameters that the system adds for the upstream.
     */
    void rewriteHeaders(HttpHeaders headers, ForwardParameters parameters);

    /**
     * Returns for how long callers of a route wait for an event of a stream before they leave.
     *
     * @param route the route.
     * @return the time in milliseconds; {@link Long#MAX_VALUE} where they wait until their deadline.
     */
    long maxSilenceMillis(RouteRule route);

    /**
     * Returns the longest Retry-After that callers heed.
     *
     * @param leftMillis the time that the caller has left, in milliseconds.
     * @return the time in milliseconds.
     */
    long maxRetryAfterMillis(long leftMillis);

    /**
     * Returns how the response to a request is distinguished from those to others.
     *
     * @param requestId the caller's identifier of the request, empty where it is missing.
     * @return the identity of the request.
     */
    RequestIdentity identify(String requestId);

    /**
     * Classifies an upstream's response by its head.
     *
     * @param response the head, which states the identifier of the request or none.
     * @return the kind of the response.
     */
    ResponseKind classify(HttpResponse response);

    /**
     * Decodes how many requests an upstream takes from all hosts together, as it states in a response.
     *
     * @param response the head of the response.
     * @return the limit, or that there is none.
     */
    RequestLimit decodeLimit(HttpResponse response);

    /**
     * Decodes how long an upstream that turns a request away asks this host to send it nothing.
     *
     * @param response the head of the response.
     * @return the time in milliseconds; 0 if the response turns nothing away or asks for no rest.
     */
    long decodeRestMillis(HttpResponse response);

    /**
     * Returns whether an upstream says in a response that it leaves.
     *
     * @param response the head of the response.
     * @return whether it must soon get no more requests.
     */
    boolean isLeaving(HttpResponse response);

    /**
     * Holds the decoded head of a caller's request.
     *
     * @param requestId the caller's identifier of the request, empty where it is missing.
     * @param host the host name that the request is addressed to.
     * @param path the path without its query.
     * @param apiKey the API key that the caller sends, or nothing.
     * @param deadlineMillis the maximum time that the caller waits, in milliseconds, or 0 where the request doesn't
     *     state one.
     * @param promptTokens the length of the prompt in tokens, or 0 where it isn't stated.
     * @param maxOutputTokens the maximum number of tokens to generate, or 0 where it isn't stated.
     * @param expectedOutputTokens the caller's estimate of the output tokens, or 0 where it gives none; often far off.
     * @param resumeAfter the number of the last event that the caller has received, or negative where there is none.
     * @param prefixId identifies the beginning of the prompt that it shares with other requests, empty where there is
     *     none.
     * @param prefixTokens the length of that beginning in tokens, or 0.
     * @param sharedParts the identities of the parts of the prompt that other requests may have too, in their order.
     */
    record RequestHead(
            String requestId,
            String host,
            String path,
            Optional<String> apiKey,
            long deadlineMillis,
            long promptTokens,
            long maxOutputTokens,
            long expectedOutputTokens,
            long resumeAfter,
            String prefixId,
            long prefixTokens,
            List<String> sharedParts) {
        /** Copies the list of parts. */
        public RequestHead {
            sharedParts = List.copyOf(sharedParts);
        }
    }

    /**
     * Holds the parameters that the system adds to a request for an upstream.
     *
     * @param upstreamId the identifier of the instance that the request is meant for; any other instance must not run
     *     it.
     * @param organisation the organisation of the caller, or nothing where it is unknown.
     * @param remainingMillis the time that is left until the deadline, in milliseconds.
     * @param resumeAfter the number of the last event that was received, or negative where there is none.
     */
    record ForwardParameters(
            String upstreamId, Optional<String> organisation, long remainingMillis, long resumeAfter) {}

    /**
     * Classifies a response by its head, mainly by whether the upstream ran the request.
     */
    enum ResponseKind {
        /** The upstream ran the request and responds with a success status. */
        SUCCESS,
        /** The upstream ran the request, or may have run it, and reports a failure of its own. */
        FAILURE,
        /** The upstream states that it has not run the request and won't run it. */
        NOT_RUN,
        /** Another instance than the expected one answered at this address; it has not run the request. */
        WRONG_INSTANCE,
        /** The response can't be the one that the upstream meant to send; the request may have run. */
        INVALID
    }
}
