package org.radishspur.node.dialect;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Reads what a caller means and what an upstream answers, and writes what the system adds.
 */
public interface CallerDialect {
    /**
     * Reads the head of a caller's request.
     *
     * @param request the head.
     * @return what it says.
     */
    RequestHead read(HttpRequest request);

    /**
     * Rewrites the headers of a request for an upstream. Headers that concern one connection are gone already.
     *
     * @param headers the caller's headers, to be changed.
     * @param forward what the system says to the upstream.
     */
    void prepare(HttpHeaders headers, Forward forward);

    /**
     * Judges the head of an upstream's answer.
     *
     * @param response the head.
     * @param request the caller's identification of the request.
     * @return what the answer is.
     */
    AnswerKind judge(HttpResponse response, String request);

    /**
     * Holds what a caller says with a request.
     *
     * @param request the caller's identification of the request, empty where it is missing.
     * @param host the host name that the caller asks for.
     * @param path the path without its query.
     * @param key the key that the caller shows, or nothing.
     * @param deadlineMillis how long the caller waits, in milliseconds, or 0 where it doesn't say.
     * @param promptTokens the tokens of the prompt, or 0.
     * @param outputTokens the most tokens to be generated, or 0.
     * @param expectedTokens how many tokens the caller expects, or 0; often far off.
     * @param resumeAfter the number of the last event that the caller has, or a negative number.
     * @param prefix identifies the beginning of the prompt that other requests share, empty where there is none.
     * @param prefixTokens the tokens of that beginning, or 0.
     */
    record RequestHead(
            String request,
            String host,
            String path,
            Optional<String> key,
            long deadlineMillis,
            long promptTokens,
            long outputTokens,
            long expectedTokens,
            long resumeAfter,
            String prefix,
            long prefixTokens) {}

    /**
     * Holds what the system says to an upstream with a request.
     *
     * @param upstream the identity of the instance that is meant; any other one must not run the request.
     * @param organisation the organisation of the caller, or nothing.
     * @param deadlineMillis how long the answer is worth anything, in milliseconds.
     * @param resumeAfter the number of the last event that was received, or a negative number.
     */
    record Forward(String upstream, Optional<String> organisation, long deadlineMillis, long resumeAfter) {}

    /**
     * Says what an answer's head shows.
     */
    enum AnswerKind {
        /** The upstream has run the request and answers with a success. */
        SUCCESS,
        /** The upstream has run the request, or may have, and answers with a failure of its own. */
        FAILURE,
        /** The upstream says that it has not run the request and won't. */
        NOT_RUN,
        /** The instance at this address isn't the one that was meant, and has not run the request. */
        WRONG_INSTANCE,
        /** The answer belongs to another request. */
        OTHER_REQUEST,
        /** The answer can't be what the upstream meant to say; the request may have run. */
        SPOILT
    }
}
