package org.radishspur.testkit.experiment;

import java.util.ArrayList;
import java.util.List;

import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.request.Tier;

/**
 * Describes one request of a workload.
 *
 * @param number the number of the request.
 * @param arrivesAt when it arrives, in microseconds.
 * @param tier its tier.
 * @param organisation the organisation that sends it.
 * @param prefixBlocks how many blocks at the start of its prompt are shared by requests of the same organisation and
 *     topic.
 * @param topic which of the organisation's shared prompt prefixes it begins with.
 * @param ownBlocks how many blocks of its prompt no other request has.
 * @param outputTokens the actual number of tokens in its answer.
 * @param announcedTokens the number of answer tokens that its caller announces.
 * @param deadlineAt when it is cancelled unless it has been answered, in microseconds.
 */
record Arrival(
        int number,
        long arrivesAt,
        Tier tier,
        String organisation,
        int prefixBlocks,
        int topic,
        int ownBlocks,
        int outputTokens,
        int announcedTokens,
        long deadlineAt) {

    int promptTokens() {
        return (prefixBlocks + ownBlocks) * RequestSize.BLOCK_TOKENS;
    }

    /** Returns the names of the prompt's blocks; prompts with the same prefix have the same names for its blocks. */
    List<Long> blocks() {
        List<Long> blocks = new ArrayList<>();
        for (int block = 0; block < prefixBlocks; block++) {
            blocks.add(((long) organisation.hashCode() << 20) + topic * 1_000L + block);
        }
        for (int block = 0; block < ownBlocks; block++) {
            blocks.add((1L << 60) + number * 1_000L + block);
        }
        return blocks;
    }
}
