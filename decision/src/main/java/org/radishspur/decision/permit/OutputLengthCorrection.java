package org.radishspur.decision.permit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how far the answers of each route and organisation stray from the lengths that were announced for them.
 */
final class OutputLengthCorrection {
    private static final double SMOOTHING = 0.1;
    private static final double MIN_FACTOR = 0.01;
    private static final double MAX_FACTOR = 100;
    private static final int MAX_KEYS = 20_000;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Double> factors = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_KEYS;
        }
    };

    /** Returns the work of a request with the length of its answer corrected. */
    Work correct(PermitRequest request) {
        double factor = factors.getOrDefault(keyOf(request), 1.0);
        Work work = request.work();
        return new Work(work.promptTokens(), (int) Math.max(1, work.outputTokens() * factor), work.prefix());
    }

    void learn(PermitRequest request, int announcedTokens, int outputTokens) {
        double seen = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, outputTokens / (double) Math.max(1, announcedTokens)));
        factors.merge(keyOf(request), seen, (known, fresh) -> known + SMOOTHING * (fresh - known));
    }

    private static String keyOf(PermitRequest request) {
        return request.route() + '/' + request.organisation();
    }
}
