package org.radishspur.testkit.experiment;

import java.util.ArrayList;
import java.util.List;

import org.radishspur.decision.permit.Work;
import org.radishspur.model.request.Tier;

/**
 * Describes one request of a workload.
 *
 * @param number the number of the request.
 * @param arrivesAt when it arrives, in microseconds.
 * @param tier its urgency.
 * @param organisation who sends it.
 * @param prefixBlocks how many blocks its prompt shares with others of the same organisation and topic.
 * @param topic which of the organisation's prompts it begins with.
 * @param ownBlocks how many blocks its prompt has for itself.
 * @param outputTokens the true length of its answer.
 * @param announcedTokens the length that its caller announces.
 * @param deadlineAt when its answer loses its value.
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
        return (prefixBlocks + ownBlocks) * Work.BLOCK_TOKENS;
    }

    /** Names the blocks of the prompt; equal names mean equal beginnings. */
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
