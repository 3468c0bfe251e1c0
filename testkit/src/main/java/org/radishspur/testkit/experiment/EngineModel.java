package org.radishspur.testkit.experiment;

import org.radishspur.decision.permit.RequestSize;

/**
 * Holds the parameters of the simulated engines; times are in microseconds for an engine of speed 1.
 *
 * @param batchSize how many requests an engine runs concurrently.
 * @param stepMicros the fixed time of a step.
 * @param decodeMicrosPerSequence the time that each decoded request adds to a step.
 * @param prefillMicrosPerToken the time that each computed prompt token adds to a step.
 * @param prefillTokensPerStep how many prompt tokens a step computes at most.
 * @param cacheBlocks how many prompt blocks an engine caches.
 */
record EngineModel(
        int batchSize,
        double stepMicros,
        double decodeMicrosPerSequence,
        double prefillMicrosPerToken,
        int prefillTokensPerStep,
        int cacheBlocks) {
    static final EngineModel STANDARD = new EngineModel(24, 15_000, 400, 60, 512, 1_200);

    /**
     * Returns the minimum engine time of a request, with each step shared by a full batch and shared prefixes cached.
     */
    double minimumMicros(Arrival arrival) {
        double perToken = stepMicros / batchSize + decodeMicrosPerSequence;
        return arrival.outputTokens() * perToken
                + arrival.ownBlocks() * RequestSize.BLOCK_TOKENS * prefillMicrosPerToken;
    }

    /** Returns how long a request takes on an engine of speed 1 with a full batch and nothing cached. */
    double fullBatchMicros(int promptTokens, int outputTokens) {
        return outputTokens * (stepMicros + batchSize * decodeMicrosPerSequence) + promptTokens * prefillMicrosPerToken;
    }
}
