package org.radishspur.decision.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds the requests of one entry at one upstream whose answers have not begun.
 */
final class UnansweredRequests {
    private final Map<Object, Unanswered> requests = new HashMap<>();
    private long pendingTokens;

    /**
     * Adds a request.
     *
     * @param request identifies the request.
     * @param promptTokens the tokens of its prompt that the upstream has to read.
     * @param tokensAhead the tokens that the upstream had to read before them.
     * @param now the clock in milliseconds.
     */
    void add(Object request, long promptTokens, long tokensAhead, long now) {
        requests.put(request, new Unanswered(now, promptTokens, tokensAhead));
        pendingTokens += promptTokens;
    }

    /** Takes a request out, and returns how many tokens were to be read before its own; 0 where it is not held. */
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

    /** Returns when the oldest request was sent, or another moment where there is none. */
    long oldestSentAt(long defaultMillis) {
        return requests.values().stream().mapToLong(Unanswered::sentAt).min().orElse(defaultMillis);
    }

    /** Returns the tokens of all prompts that are still to be read. */
    long pendingTokens() {
        return pendingTokens;
    }

    /**
     * Holds one request.
     *
     * @param sentAt when it was sent, in milliseconds.
     * @param promptTokens the tokens of its prompt that the upstream has to read.
     * @param tokensAhead the tokens that the upstream had to read before them.
     */
    private record Unanswered(long sentAt, long promptTokens, long tokensAhead) {}
}
