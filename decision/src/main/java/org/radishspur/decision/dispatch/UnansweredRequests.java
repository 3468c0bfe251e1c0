package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds the requests that one scheduler has in progress at one upstream and whose answers have not begun.
 */
final class UnansweredRequests {
    private final Map<Object, Unanswered> requests = new HashMap<>();
    private long pendingTokens;

    /**
     * Adds a request.
     *
     * @param request identifies the request.
     * @param promptTokens the tokens of its prompt that the upstream has to process.
     * @param tokensAhead the tokens that the upstream has to process before these.
     * @param now the current time in milliseconds.
     */
    void add(Object request, long promptTokens, long tokensAhead, long now) {
        requests.put(request, new Unanswered(now, promptTokens, tokensAhead));
        pendingTokens += promptTokens;
    }

    /**
     * Removes a request, and returns how many tokens the upstream had to process before its own; 0 where it is unknown.
     */
    long remove(Object request) {
        Unanswered removed = requests.remove(request);
        if (removed == null) {
            return 0;
        }
        pendingTokens -= removed.promptTokens();
        return removed.tokensAhead();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns when the oldest request was sent, or the default where there is none. */
    long oldestSentAt(long defaultMillis) {
        return requests.values().stream().mapToLong(Unanswered::sentAt).min().orElse(defaultMillis);
    }

    /** Returns the prompt tokens that the upstream has still to process. */
    long pendingTokens() {
        return pendingTokens;
    }

    /**
     * Holds one request.
     *
     * @param sentAt when it was sent, in milliseconds.
     * @param promptTokens the tokens of its prompt that the upstream has to process.
     * @param tokensAhead the tokens that the upstream has to process before these.
     */
    private record Unanswered(long sentAt, long promptTokens, long tokensAhead) {}
}
