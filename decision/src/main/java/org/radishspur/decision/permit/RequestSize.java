package org.radishspur.decision.permit;

import java.util.List;

/**
 * The size of a request: how much an upstream has to compute for it.
 *
 * @param promptTokens the estimated length of the prompt in tokens, or 0 for a plain service.
 * @param outputTokens the estimated length of the answer in tokens, or 1 for a plain service.
 * @param blockDigests the digests of the prompt's blocks in their order; each digest covers all blocks up to its own.
 */
public record RequestSize(int promptTokens, int outputTokens, List<Long> blockDigests) {
    /** The number of prompt tokens in a block. */
    public static final int BLOCK_TOKENS = 64;

    /** The size of a request to a plain service. */
    public static final RequestSize SERVICE_CALL = new RequestSize(0, 1, List.of());

    /** Makes an immutable copy of the digests. */
    public RequestSize {
        blockDigests = List.copyOf(blockDigests);
    }
}
