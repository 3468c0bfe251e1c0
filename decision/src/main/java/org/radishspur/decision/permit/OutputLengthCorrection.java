package org.radishspur.decision.permit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the ratio of actual to announced answer length for each route and organisation, and corrects announced
 * lengths by it.
 */
final class OutputLengthCorrection {
    /** The weight of a new sample in the moving average. */
    private static final double SMOOTHING = 0.1;

    private static final double MIN_FACTOR = 0.01;
    private static final double MAX_FACTOR = 100;

    /** The number of pairs of route and organisation that are kept; the least recently used is dropped first. */
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

    /** Returns the size of a request with the corrected length of its answer. */
    RequestSize correct(PermitRequest request) {
        double factor = factors.getOrDefault(keyOf(request), 1.0);
        RequestSize size = request.size();
        return new RequestSize(
                size.promptTokens(), (int) Math.max(1, size.outputTokens() * factor), size.blockDigests());
    }

    void addSample(PermitRequest request, int announcedTokens, int outputTokens) {
        double ratio = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, outputTokens / (double) Math.max(1, announcedTokens)));
        factors.merge(keyOf(request), ratio, (mean, sample) -> mean + SMOOTHING * (sample - mean));
    }

    private static String keyOf(PermitRequest request) {
        return request.route() + '/' + request.organisation();
    }
}
