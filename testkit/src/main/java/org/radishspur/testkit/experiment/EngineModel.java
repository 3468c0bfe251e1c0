package org.radishspur.testkit.experiment;

import org.radishspur.decision.permit.Work;

/**
 * Holds the constants of the fake engines; times are in microseconds for an engine of speed 1.
 *
 * @param batchSize how many requests an engine decodes at once.
 * @param stepMicros the time of a step whatever it does.
 * @param decodeMicrosPerSequence the time that each decoded request adds to a step.
 * @param prefillMicrosPerToken the time that each computed prompt token adds to a step.
 * @param prefillTokensPerStep how many prompt tokens a step computes at most.
 * @param cacheBlocks how many prompt blocks an engine holds.
 */
record EngineModel(
        int batchSize,
        double stepMicros,
        double decodeMicrosPerSequence,
        double prefillMicrosPerToken,
        int prefillTokensPerStep,
        int cacheBlocks) {
    static final EngineModel STANDARD = new EngineModel(24, 15_000, 400, 60, 512, 1_200);

    /** Returns the least engine time that a request needs: a full batch shares each step, and prefixes are cached. */
    double minimumMicros(Arrival arrival) {
        double perToken = stepMicros / batchSize + decodeMicrosPerSequence;
        return arrival.outputTokens() * perToken + arrival.ownBlocks() * Work.BLOCK_TOKENS * prefillMicrosPerToken;
    }

    /** Returns how long a request takes on an engine of speed 1 with a full batch and nothing cached. */
    double fullBatchMicros(int promptTokens, int outputTokens) {
        return outputTokens * (stepMicros + batchSize * decodeMicrosPerSequence) + promptTokens * prefillMicrosPerToken;
    }
}
